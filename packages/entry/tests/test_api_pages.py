"""Tests of the pages about the API, the admin API and the command line."""

import re
from pathlib import Path

from kumquatway._cli._main import Kumquatway
from kumquatway.admin._openapi import _document
from kumquatway_core._verdict import STATUS_BY_REASON, Reason

PAGES = Path(__file__).parents[3] / "docs" / "operators"


def read(name: str) -> str:
    return (PAGES / name).read_text(encoding="utf-8")


class TestPages:
    """Each page lists what there is, and nothing else."""

    def test_each_code_of_an_error_with_its_status(self):
        rows = re.findall(r"^\| (\d{3}) \| `(\w+)` \|", read("api.md"), re.MULTILINE)
        assert {(int(status), code) for status, code in rows} == {
            (status, reason.value)
            for reason, status in STATUS_BY_REASON.items()
            if reason is not Reason.NONE
        }

    def test_each_path_of_the_admin_api(self):
        found = re.findall(r"^\| `(/\S+)` \| ([A-Z]+) \|", read("admin.md"), re.M)
        assert set(found) == {
            (path, method.upper())
            for path, item in _document()["paths"].items()
            for method in item
            if method != "parameters"
        }

    def test_each_subcommand(self):
        found = re.findall(r"^\| `kumquatway (\w+)", read("cli.md"), re.MULTILINE)
        (commands,) = Kumquatway.__annotations__["command"].__args__[:1]
        assert set(found) == {kind.__name__.lower() for kind in commands.__args__}

    def test_each_link_leads_to_a_page(self):
        for page in ("api.md", "admin.md", "cli.md"):
            for target in re.findall(r"\]\(([\w-]+\.md)\)", read(page)):
                assert (PAGES / target).is_file(), target
