"""The command line of the daemon."""

from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit as exit_process

from click import Path as PathType
from click import argument, echo, group, version_option
from gevent.hub import signal as handle_signal

from bergamotwood_core.errors import SettingsError
from bergamotwood_daemon.daemon import Daemon
from bergamotwood_daemon.log import close_log, open_log
from bergamotwood_daemon.settings import Settings, load_settings

EXIT_INVALID_SETTINGS = 2
EXIT_FORCED = 3
SETTINGS_PATH_TYPE = PathType(path_type=Path)


@group()
@version_option(package_name="bergamotwood-daemon")
def main() -> None:
    """Run a daemon or check its settings."""


@main.command()
@argument("file", type=SETTINGS_PATH_TYPE)
def check(file: Path) -> None:
    """Check a settings file and print every fault."""
    _load(file)
    echo(f"{file}: valid")


@main.command()
@argument("file", type=SETTINGS_PATH_TYPE)
def run(file: Path) -> None:
    """Run a daemon with a settings file until SIGTERM."""
    settings = _load(file)
    open_log()
    daemon = Daemon(settings)
    handle_signal(SIGTERM, _handle_stop_signal, daemon)
    handle_signal(SIGINT, _handle_stop_signal, daemon)
    daemon.start()
    daemon.wait()
    close_log()


def _load(file: Path) -> Settings:
    try:
        return load_settings(file)
    except SettingsError as error:
        echo(error.detail, err=True)
        for fault in error.faults:
            echo(f"{file}: {fault}", err=True)
        exit_process(EXIT_INVALID_SETTINGS)


def _handle_stop_signal(daemon: Daemon) -> None:
    """Drain at the first signal; exit immediately at the second."""
    if daemon.entry.draining:
        exit_process(EXIT_FORCED)
    daemon.drain()
