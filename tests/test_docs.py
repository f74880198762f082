"""Pages name what exists: paths, modules, tests, log lines and error codes."""

import re
import unittest
from pathlib import Path

from fernyard.cluster.common import errors

ROOT = Path(__file__).parent.parent
CLUSTER = ROOT / "fernyard" / "cluster"
# Pages that speak of the code as it is. Others hold figures and history, and may name what was.
CURRENT = (
    "README.md",
    "DEVELOPERS.md",
    "docs/architecture.md",
    "docs/calls-and-answers.md",
    "docs/control-state.md",
    "docs/gatekeeper.md",
    "docs/on-call.md",
    "docs/system.md",
    "docs/system-operators.md",
    "docs/system-pages.md",
)
FOLDERS = ("fernyard", "fernyard/cluster", "fernyard/cluster/control_plane", "fernyard/cluster/data_plane")
FOLDERS += ("fernyard/cluster/common", "tests", "tests/cluster", "docs", "deploy", "")
QUOTED = re.compile(r"`([^`\n]+)`")
FILE_NAME = re.compile(r"[\w/.-]+\.(py|md|toml|txt)")
LOG_CALL = re.compile(r'log\.(warning|exception)\(\s*"([^"]+)"')


def quoted(page):
    return QUOTED.findall((ROOT / page).read_text(encoding="utf-8"))


def exists(name):
    """Does a file of that name stand where pages may mean it, or anywhere below the package or the tests?"""
    if any((ROOT / folder / name).exists() for folder in FOLDERS):
        return True
    return "/" not in name and any(any((ROOT / top).rglob(name)) for top in ("fernyard", "tests", "docs"))


class Pages(unittest.TestCase):
    def test_files_that_current_pages_name_exist(self):
        missing = [
            f"{page}: {name}"
            for page in CURRENT
            for name in quoted(page)
            if FILE_NAME.fullmatch(name) and not name.startswith(("..", "hardening/")) and not exists(name)
        ]
        self.assertEqual(missing, [])

    def test_links_between_pages_lead_somewhere(self):
        missing = []
        for page in CURRENT:
            for link in re.findall(r"\]\(([^)#:]+\.md)\)", (ROOT / page).read_text(encoding="utf-8")):
                if not (ROOT / page).parent.joinpath(link).exists():
                    missing.append(f"{page}: {link}")
        self.assertEqual(missing, [])

    def test_tests_that_current_pages_name_exist(self):
        sources = "\n".join(path.read_text(encoding="utf-8") for path in (ROOT / "tests").rglob("*.py"))
        sources += "\n".join(path.stem for path in (ROOT / "tests").rglob("*.py"))
        missing = [
            f"{page}: {name}"
            for page in CURRENT
            for name in quoted(page)
            if re.fullmatch(r"test_\w+|Test\w+", name) and not re.search(rf"\b{name}\b", sources)
        ]
        self.assertEqual(missing, [])

    def test_names_that_the_architecture_page_gives_to_steps_exist(self):
        """In the tables of the two ways, after the module: functions and methods."""
        sources = "\n".join(path.read_text(encoding="utf-8") for path in CLUSTER.rglob("*.py"))
        missing = [
            name
            for name in quoted("docs/architecture.md")
            if re.fullmatch(r"_?[a-z]+(_[a-z]+)+|[A-Z][A-Za-z]+", name)
            and name not in ("Attempt-Id",)
            and not re.search(rf"\b{name}\b", sources)
        ]
        self.assertEqual(missing, [])


class OnCall(unittest.TestCase):
    def test_every_log_line_at_warning_or_above_is_explained(self):
        page = (ROOT / "docs/on-call.md").read_text(encoding="utf-8")
        missing = [
            f"{path.name}: {sentence}"
            for path in sorted(CLUSTER.rglob("*.py"))
            for _, sentence in LOG_CALL.findall(path.read_text(encoding="utf-8"))
            if f" {sentence}`" not in page
        ]
        self.assertEqual(missing, [])

    def test_every_line_that_the_page_explains_is_written(self):
        sources = "\n".join(path.read_text(encoding="utf-8") for path in CLUSTER.rglob("*.py"))
        lines = re.findall(r"^\| `[a-z-]+: ([^`]+)` \|", (ROOT / "docs/on-call.md").read_text(encoding="utf-8"), re.M)
        self.assertGreater(len(lines), 10)
        self.assertEqual([line for line in lines if f'"{line}"' not in sources], [])

    def test_every_error_code_is_explained(self):
        page = (ROOT / "docs/on-call.md").read_text(encoding="utf-8")
        codes = {
            kind.CODE
            for kind in vars(errors).values()
            if isinstance(kind, type) and issubclass(kind, errors.ClusterError)
        }
        self.assertEqual([code for code in sorted(codes) if f"| {code} |" not in page], [])
