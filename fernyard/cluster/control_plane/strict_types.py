"""Compares values of JSON with the annotations of the classes that they are read into, exactly: a truth value is no number, a fraction no
whole number, and each item of a list is looked at. Free of I/O."""

import dataclasses
import types
from collections.abc import Callable
from functools import cache
from typing import Any, NamedTuple, Union, get_args, get_origin, get_type_hints

NAMES = {str: "a text", bool: "true or false", int: "a whole number", float: "a number"}
ACCEPTED: dict[Any, tuple[type, ...]] = {str: (str,), bool: (bool,), int: (int,), float: (float, int)}


class Mismatch(NamedTuple):
    """A value of another type. `where`: the way to it, as `vhosts[0].paths[2].prio`; `expected`: in words."""

    where: str
    expected: str

    def below(self, step: str) -> "Mismatch":
        """The same mismatch as seen from one level above; `step`: a field's name or an index in brackets."""
        separator = "." if self.where[:1].isalpha() else ""
        return Mismatch(step + separator + self.where, self.expected)


Checker = Callable[[Any], Mismatch | None]


def find_mismatch(value: Any, annotation: Any) -> Mismatch | None:
    """The first value that is not of its type, or None. `annotation`: a dataclass, a list, a basic type, or one of these or None.

    Fields are looked up under their names in camel case; fields that are not there, and those that no class has, are passed over.
    """
    return checker_of(annotation)(value)


@cache
def checker_of(annotation: Any) -> Checker:
    """The check of one annotation, made once."""
    if dataclasses.is_dataclass(annotation):
        hints = get_type_hints(annotation).items()
        return _object_checker({_camel_case(name): checker_of(hint) for name, hint in hints})
    if get_origin(annotation) is list:
        return _list_checker(checker_of(get_args(annotation)[0]))
    if get_origin(annotation) in (Union, types.UnionType):
        (wanted,) = [argument for argument in get_args(annotation) if argument is not type(None)]
        return _optional_checker(checker_of(wanted))
    return _basic_checker(annotation)


def _basic_checker(annotation: type) -> Checker:
    accepted, mismatch = ACCEPTED[annotation], Mismatch("", NAMES[annotation])
    return lambda value: None if type(value) in accepted else mismatch


def _optional_checker(check: Checker) -> Checker:
    return lambda value: None if value is None else check(value)


def _list_checker(check: Checker) -> Checker:
    def check_list(value: Any) -> Mismatch | None:
        if type(value) is not list:
            return Mismatch("", "a list")
        for index, item in enumerate(value):
            mismatch = check(item)
            if mismatch is not None:
                return mismatch.below(f"[{index}]")
        return None

    return check_list


def _object_checker(checks: dict[str, Checker]) -> Checker:
    def check_object(value: Any) -> Mismatch | None:
        if type(value) is not dict:
            return Mismatch("", "an object")
        for name, item in value.items():
            check = checks.get(name)
            mismatch = check(item) if check is not None else None
            if mismatch is not None:
                return mismatch.below(name)
        return None

    return check_object


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(other.capitalize() for other in others)
