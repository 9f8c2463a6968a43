"""The command line of the daemon."""

from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit as leave

from click import Path as PathType
from click import argument, echo, group, version_option
from gevent.hub import signal as watch_signal

from bergamotwood_core.errors import SettingsError
from bergamotwood_daemon.daemon import Daemon
from bergamotwood_daemon.log import close_log, open_log
from bergamotwood_daemon.settings import Settings, load_settings

EXIT_SETTINGS = 2
EXIT_CUT = 3
SETTINGS_FILE = PathType(path_type=Path)


@group()
@version_option(package_name="bergamotwood-daemon")
def main() -> None:
    """Run the daemon of an entry instance."""


@main.command()
@argument("file", type=SETTINGS_FILE)
def check(file: Path) -> None:
    """Check a settings file and say every fault."""
    _load(file)
    echo(f"{file}: valid")


@main.command()
@argument("file", type=SETTINGS_FILE)
def run(file: Path) -> None:
    """Run with a settings file until SIGTERM."""
    settings = _load(file)
    open_log()
    daemon = Daemon(settings)
    watch_signal(SIGTERM, _stop, daemon)
    watch_signal(SIGINT, _stop, daemon)
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
        leave(EXIT_SETTINGS)


def _stop(daemon: Daemon) -> None:
    """Drain at the first signal; cut at the second."""
    if daemon.entry.draining:
        leave(EXIT_CUT)
    daemon.drain()
