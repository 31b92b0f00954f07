"""Formats figures for the capacity page, with three significant rounded and a suitable unit."""


def format_number(figure):
    if figure == 0:
        return "0"
    rounded = float(f"{figure:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 1000 else f"{rounded:.12f}".rstrip("0").rstrip(".")


def format_seconds(figure):
    """Formats a time in seconds as s, ms or us."""
    for minimum, unit, factor in ((1.0, "s", 1.0), (1e-3, "ms", 1e3)):
        if abs(figure) >= minimum:
            return f"{format_number(figure * factor)} {unit}"
    return f"{format_number(figure * 1e6)} us"


def format_bytes(figure):
    """Formats a number of bytes; a KB has 1,000."""
    for minimum, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if abs(figure) >= minimum:
            return f"{format_number(figure / minimum)} {unit}"
    return f"{format_number(figure)} B"


def format_share(figure):
    """Formats a share as a percentage."""
    return f"{format_number(100 * figure)} %"


def markdown_table(rows):
    """Returns rows, which are dicts with the same keys, as a Markdown table."""
    headings = list(rows[0])
    lines = [
        headings,
        ["---"] * len(headings),
        *([row.get(heading, "") for heading in headings] for row in rows),
    ]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)
