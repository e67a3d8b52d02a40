"""Steps that check the source text of the package's modules."""

import ast
import re
from dataclasses import dataclass
from pathlib import Path

from behave import given, then

import cloverhook

PACKAGE = Path(cloverhook.__file__).parent
ADAPTER = PACKAGE.parent / "platform"
DEPLOY = PACKAGE.parent / "deploy"
PLATFORM_WORDS = (
    "x-cloverhook-",
    "trafficsplit",
    "pathprefix",
    "warmupleft",
    "targetlatency",
    "maxattempts",
    "healthpath",
    "log-append",
    "log-newest",
    "log-read",
    "keyed.",
    "/api/",
)
ADAPTER_MAX_SHARE = 0.1
LAYER_LINE = re.compile(r"^Layer: (\w+)", re.MULTILINE)
FORBIDDEN_MODULES = {
    "_thread",
    "concurrent",
    "multiprocessing",
    "pty",
    "subprocess",
    "threading",
    "uvloop",
}
FORBIDDEN_CALLS = {"fork", "forkpty", "popen", "posix_spawn", "system", "to_thread"}


@dataclass(frozen=True, slots=True)
class Module:
    """The layer, the imports and the attribute names of a module, read from its source."""

    name: str
    layer: str
    imports: frozenset[str]
    calls: frozenset[str]

    @classmethod
    def from_source(cls, name, source):
        """Parse the source of the module with this name."""
        tree = ast.parse(source)
        found = LAYER_LINE.search(ast.get_docstring(tree) or "")
        imports, calls = set(), set()
        for node in ast.walk(tree):
            if isinstance(node, ast.Import):
                imports.update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                imports.add(node.module)
                imports.update(f"{node.module}.{alias.name}" for alias in node.names)
            elif isinstance(node, ast.Attribute):
                calls.add(node.attr)
        layer = found.group(1) if found else ""
        return cls(name, layer, frozenset(imports), frozenset(calls))


def _module_name(path):
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts)


def _upward_imports(modules, layers):
    layer_of = {module.name: module.layer for module in modules}
    return [
        f"{module.name} ({module.layer}) imports {name} ({layer_of[name]})"
        for module in modules
        for name in sorted(module.imports & set(layer_of))
        if layers.index(layer_of[name]) > layers.index(module.layer)
    ]


@given("the modules of the package")
def step_modules(context):
    context.layers = ("state", "protocol", "coordination", "transport")
    context.modules = [
        Module.from_source(_module_name(path), path.read_text())
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.stem != "__init__"
    ]
    assert len(context.modules) > 20


@then("each names one of the layers {layers}")
def step_layer_named(context, layers):
    context.layers = tuple(layers.split(", "))
    wrong = [module.name for module in context.modules if module.layer not in context.layers]
    assert not wrong, wrong


@then("none imports from a higher layer")
def step_no_upward(context):
    found = _upward_imports(context.modules, context.layers)
    assert not found, found


@given('a module of layer "{lower}" that imports one of layer "{higher}"')
def step_upward_import(context, lower, higher):
    context.layers = ("state", "protocol", "coordination", "transport")
    context.modules = [
        Module.from_source("cloverhook.a", f'"""A.\n\nLayer: {lower}."""\nimport cloverhook.b\n'),
        Module.from_source("cloverhook.b", f'"""B.\n\nLayer: {higher}."""\n'),
    ]


@then("the import is reported")
def step_reported(context):
    found = _upward_imports(context.modules, context.layers)
    assert found == ["cloverhook.a (state) imports cloverhook.b (transport)"], found


@then("none uses threads, child processes, shared memory or another event loop")
def step_single_threaded(context):
    wrong = [
        (module.name, name)
        for module in context.modules
        for name in {item.partition(".")[0] for item in module.imports} & FORBIDDEN_MODULES
    ]
    wrong += [
        (module.name, name) for module in context.modules for name in module.calls & FORBIDDEN_CALLS
    ]
    assert not wrong, wrong


@then("none of them holds a name of the users' platform")
def step_no_platform_names(context):
    wrong = [
        (path.name, word)
        for path in sorted(PACKAGE.rglob("*.py"))
        for word in PLATFORM_WORDS
        if word in path.read_text().lower()
    ]
    assert not wrong, wrong


@then("the adapter holds these names in less than a tenth of the product's lines")
def step_adapter_share(context):
    adapter = [path.read_text() for path in ADAPTER.rglob("*.py")]
    product = [path.read_text() for path in PACKAGE.rglob("*.py")]
    missing = [word for word in PLATFORM_WORDS if word not in "".join(adapter).lower()]
    assert not missing, missing
    lines = [sum(text.count("\n") for text in texts) for texts in (adapter, product)]
    assert lines[0] < ADAPTER_MAX_SHARE * lines[1], lines
