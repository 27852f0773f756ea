"""Converter for hand-written files: rejects unknown keys and wrong types."""

from typing import Any

from cattrs.preconf.json import make_converter

strict_converter = make_converter(forbid_extra_keys=True, detailed_validation=True)


@strict_converter.register_structure_hook
def _structure_strict_float(value: Any, _: type) -> float:
    return _number(value)


@strict_converter.register_structure_hook
def _structure_strict_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, got {value!r}")
    return value


@strict_converter.register_structure_hook
def _structure_strict_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a text, got {value!r}")
    return value


@strict_converter.register_structure_hook
def _structure_strict_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)
