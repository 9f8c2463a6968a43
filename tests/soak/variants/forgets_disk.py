"""Empties the data folder at each start, except when it forms the group."""

from shutil import rmtree

from soak.variants import run_patched


def change():
    from bergamotwood_platform import program

    load_settings = program.load_settings

    def load_and_wipe(path):
        settings = load_settings(path)
        folder = settings.gateway.data_folder
        if folder is not None and not settings.gateway.forms_group:
            rmtree(folder)
            folder.mkdir()
        return settings

    program.load_settings = load_and_wipe


if __name__ == "__main__":
    run_patched(change)
