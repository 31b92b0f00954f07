"""Figures as words of a page: three digits that count, with a unit that suits."""


def format_number(figure):
    if figure == 0:
        return "0"
    digits = float(f"{figure:.3g}")
    return f"{digits:,.0f}" if abs(digits) >= 1000 else f"{digits:.12f}".rstrip("0").rstrip(".")


def format_seconds(figure):
    for least, unit, factor in ((1.0, "s", 1.0), (1e-3, "ms", 1e3)):
        if abs(figure) >= least:
            return f"{format_number(figure * factor)} {unit}"
    return f"{format_number(figure * 1e6)} us"


def format_bytes(figure):
    """Bytes; a KB has 1,000."""
    for least, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if abs(figure) >= least:
            return f"{format_number(figure / least)} {unit}"
    return f"{format_number(figure)} B"


def format_share(figure):
    return f"{format_number(100 * figure)} %"


def markdown_table(rows):
    """Rows of the same names as a table of Markdown."""
    heads = list(rows[0])
    lines = [heads, ["---"] * len(heads), *([row.get(head, "") for head in heads] for row in rows)]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)
