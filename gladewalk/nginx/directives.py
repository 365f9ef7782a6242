"""The policy for each of nginx's directives: carried over, immaterial to routing, or refused.

A directive that is missing from the table is refused as unknown, so that none is dropped silently. The page
of directives in the docs is generated from the table (`python -m gladewalk.nginx.directives`), and a test
compares the two.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

from .directive_groups import GROUPS, DirectiveGroup, DirectivePolicy, Handling


def _policies(groups: Iterable[DirectiveGroup]) -> dict[str, DirectivePolicy]:
    policies: dict[str, DirectivePolicy] = {}
    for group in groups:
        for name in group.names.split():
            assert name not in policies, name
            policies[name] = group.policy
    return policies


DIRECTIVES = _policies(GROUPS)
UNKNOWN_DIRECTIVE = DirectivePolicy(Handling.REFUSED, "not a directive that is known here", True)


def policy_of(name: str) -> DirectivePolicy:
    """Returns how a directive is handled."""
    return DIRECTIVES.get(name, UNKNOWN_DIRECTIVE)


def directives_page() -> str:
    """Returns the table as Markdown: one row for each policy."""
    names_of: dict[DirectivePolicy, list[str]] = {}
    for name, policy in DIRECTIVES.items():
        names_of.setdefault(policy, []).append(name)
    lines = ["| directives | answer | why, or how |", "| --- | --- | --- |"]
    for policy, names in names_of.items():
        allowed = "; `--allow` accepts its loss" if policy.may_be_allowed else ""
        quoted_names = ", ".join(f"`{name}`" for name in names)
        lines.append(f"| {quoted_names} | {policy.handling.value}{allowed} | {policy.note} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(directives_page())
