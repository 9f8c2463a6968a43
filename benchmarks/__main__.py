"""Run one benchmark by name, or a short form of every one."""

from importlib import import_module
from pkgutil import iter_modules
from time import perf_counter

from click import Command, Context, echo, group, pass_context

import benchmarks


def find_benches() -> dict[str, Command]:
    """Find the benchmark modules, which have a click command named `main`."""
    benches: dict[str, Command] = {}
    for module in iter_modules(benchmarks.__path__):
        if module.name.startswith("_"):
            continue
        loaded = import_module(f"benchmarks.{module.name}")
        command = getattr(loaded, "main", None)
        if isinstance(command, Command):
            benches[module.name] = command
    return benches


@group(invoke_without_command=True)
@pass_context
def main(context: Context) -> None:
    """Run the named benchmark; without a name, all, in short form if they have one."""
    if context.invoked_subcommand is not None:
        return
    for name, command in find_benches().items():
        echo(f"== {name}")
        started = perf_counter()
        takes_short = any(parameter.name == "short" for parameter in command.params)
        arguments = ["--short"] if takes_short else []
        command.main(args=arguments, standalone_mode=False)
        echo(f"== {name}: {perf_counter() - started:.1f} s\n")


if __name__ == "__main__":
    for bench, bench_command in find_benches().items():
        main.add_command(bench_command, bench)
    main()
