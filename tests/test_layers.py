"""Decisions apart from input and output: what core modules may import.

The table of modules in docs/design.md says which modules are core.
"""

import ast
import re
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "cornelward"
# Data that passes between core and shells, and the log's functions.
SHARED_MODULES = {"errors", "identity", "log", "messages", "rows", "verdicts"}
# Libraries that neither read a clock nor open anything.
PURE_LIBRARIES = {
    "collections",
    "copy",
    "heapq",
    "itertools",
    "math",
    "msgspec",
    "random",
    "re",
    "sortedcontainers",
    "typing",
    "xxhash",
}


def core_modules():
    """Return the modules that the design's table calls core."""
    text = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| (`.*`) \| core: ", text, re.M)
    return sorted(name for row in rows for name in re.findall(r"`(\w+)`", row))


def imports_of(module):
    """Return (modules of the package, others) that a module imports."""
    tree = ast.parse((PACKAGE / f"{module}.py").read_text(encoding="utf-8"))
    own, others = set(), set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            others |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level and node.module:
            own.add(node.module.split(".")[0])
        elif isinstance(node, ast.ImportFrom) and node.level:
            own |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            others.add(node.module.split(".")[0])
    return own, others


@pytest.mark.parametrize("module", core_modules())
def test_core_module_imports_no_input_or_output(module):
    own, others = imports_of(module)
    allowed = set(core_modules()) | SHARED_MODULES
    assert_that(own - allowed, Equals(set()))
    assert_that(others - PURE_LIBRARIES, Equals(set()))


def test_every_module_that_calls_itself_core_is_in_the_table():
    named = {
        path.stem
        for path in PACKAGE.glob("*.py")
        if path.read_text(encoding="utf-8").startswith(('"""Core:', '"""Core of'))
    }
    assert_that(named - set(core_modules()), Equals(set()))
    assert_that(len(core_modules()), GreaterThan(40))


def test_composition_roots_import_no_program():
    programs = {
        path.stem
        for path in PACKAGE.glob("*.py")
        if '\nif __name__ == "__main__":' in path.read_text(encoding="utf-8")
    }
    own, _ = imports_of("compose")
    assert_that(own & programs, Equals(set()))
