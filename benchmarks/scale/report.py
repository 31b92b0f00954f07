"""The page of a run, with plots beside it (FILE.md) or within it (FILE.html). Imported for it alone."""

import base64
import html
import io

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402
from tabulate import tabulate  # noqa: E402

from .run import WANTED  # noqa: E402

MB = 1e6


def rounded(value, digits=1):
    return "-" if value is None else round(value, digits)


def tables(result):
    """(title, heads, rows) of each table."""
    rows = [
        [kind, row["changes"], row["over_gateways"]["count"]]
        + [row["over_gateways"][name] for name in ("median_ms", "p99_ms", "last_ms")]
        + [row["to_the_last_gateway_ms"][name] for name in ("median", "worst")]
        for kind, row in result["changes"].items()
    ]
    heads = [
        "change",
        "changes",
        "told",
        "median ms",
        "p99 ms",
        "last ms",
        "to the last gateway, median",
        "worst",
    ]
    yield "Until in force, by the gateways' own clock", heads, rows
    rows = [
        [row["what"], rounded(row["at_s"]), f"{row['gateways']} of {row['of']}"]
        + [rounded(row[name]) for name in ("median_ms", "p99_ms", "last_ms")]
        for row in result["markers"]
    ]
    yield (
        "A change to all right after each fault",
        ["fault", "at s", "gateways", "median ms", "p99 ms", "last ms"],
        rows,
    )
    rows = [[row["what"], row["index"], row["ms"]] for row in result["acknowledged"]]
    yield "Until told to be in force everywhere, by acknowledgement", ["change", "index", "ms"], rows
    figures, real = result["gateway"], result["real"]
    bytes_mean = figures["bytes_in_a_second"] + figures["bytes_out_a_second"]
    core, peak = rounded(figures["core_mean"], 5), rounded(figures["core_peak_second"], 5)
    own = rounded(figures["memory_each"] / MB, 3)
    rows = [
        ["share of a core", core, peak, WANTED["core"]],
        [
            "bytes a second, both ways",
            rounded(bytes_mean),
            rounded(figures["bytes_peak_second"]),
            WANTED["bytes"],
        ],
        ["memory, MB, without the interpreter", own, "-", WANTED["memory"] / MB],
    ]
    heads = ["of a hollow gateway", "mean", "peak in a second", "wanted"]
    yield f"{figures['count']} hollow gateways", heads, rows
    rows = [[name, *row.values()] for name, row in figures["start_ms"].items()]
    yield "From start to all scopes in force, ms", ["start", "count", "median", "p99", "last"], rows
    rows = [
        [row["name"], row["instances"], rounded(row["cpu_s"] / row["seconds"], 4)]
        + [rounded((row["bytes_in"] + row["bytes_out"]) / row["seconds"])]
        + [f"{row['scopes_complete']} of {row['scopes']}", row["start_ms"], row["changes"]]
        for row in result["wide"]
    ]
    yield (
        "A gateway with all services",
        [
            "gateway",
            "instances",
            "core",
            "bytes a second",
            "scopes complete at the end",
            "start ms",
            "changes",
        ],
        rows,
    )
    rows = [
        [
            name,
            row["core_mean"],
            row["core_peak"],
            row["waited_for_a_core_mean"],
            rounded(row["memory_peak"] / MB),
        ]
        + [row["subscribers_peak"], *row["queues_most"].values()]
        + [row["seconds_without_status"], ", ".join(f"{k} {v}" for k, v in row["counts"].items())]
        for name, row in result["control"].items()
    ]
    heads = [
        "process",
        "core, mean",
        "core, peak",
        "waited for a core, mean",
        "memory MB",
        "streams",
        "waiting, most",
        "counts at the end",
    ]
    yield "Control", heads, rows
    yield "Counted at gateways", ["what", "count"], list(result["counts"].items())
    told = "compared" if real["compared"] else f"not compared: {real['why']}"
    rows = [
        [name, real["real"][name], real["hollow"][name], real["ratio"][name]]
        + ["yes" if name in real["judged"] else "no, too little"]
        for name in real.get("ratio", ())
    ]
    yield f"Hollow beside real: {told}", ["what", "real", "hollow", "hollow by real", "judged"], rows


def plots(result):
    """(title, figure) of each plot."""
    series = result["series"]
    figure, axes = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True, layout="constrained")
    for number in sorted({row[4] for row in series["hollow"]}):
        rows = [row for row in series["hollow"] if row[4] == number]
        axes[0].plot([row[0] for row in rows], [row[1] for row in rows], label=f"hollow process {number}")
        axes[1].plot(
            [row[0] for row in rows], [row[3] for row in rows], label=f"the most of one, process {number}"
        )
    for name in result["control"]:
        rows = [row for row in series["control"] if row[1] == name]
        axes[2].plot([row[0] for row in rows], [row[2] for row in rows], label=name)
    axes[1].axhline(WANTED["bytes"], color="grey", linestyle="--")
    for axis, name in zip(axes, ("cores", "bytes a second of a gateway", "cores, control"), strict=True):
        axis.set_ylabel(name)
        axis.legend(fontsize="x-small")
        for marker in result["markers"]:
            axis.axvline(marker["at_s"], color="lightgrey", linewidth=0.8)
    axes[2].set_xlabel("seconds of the day as played; grey: faults")
    yield "Cost by second", figure
    figure, axis = pyplot.subplots(figsize=(9, 4), layout="constrained")
    kinds = list(result["changes"])
    for name, shift in (("median_ms", -0.25), ("p99_ms", 0.0), ("last_ms", 0.25)):
        times = [max(result["changes"][kind]["over_gateways"][name], 0.1) for kind in kinds]
        axis.bar([place + shift for place in range(len(kinds))], times, width=0.25, label=name[:-3])
    axis.axhline(1000 * WANTED["seconds"], color="grey", linestyle="--")
    axis.set_yscale("log")
    axis.set_ylabel("ms until in force")
    axis.set_xticks(range(len(kinds)), kinds)
    axis.legend()
    yield "Until in force", figure


def intro(result):
    asked = result["asked"]
    failed, over = "; ".join(result["faults"]), "; ".join(result["over"])
    return [
        f"{asked['gateways']} gateways, {asked['instances']} instances in {asked['services']} services, "
        f"seed {asked['seed']}, {asked['cores']} cores, by {result['way']}. The day took "
        f"{asked['seconds']:.0f} s, {result['compression']:.0f} times as fast; all {result['seconds']:.0f}.",
        f"Control: {result['control_way']}.",
        "Left out at hollow gateways: clients, instances, discovery's changes, the loading of rules, and a "
        "thread of their own. The rig's own counting is in their figures. A change that a later one of its "
        "key replaced counts as in force with that one. Times count from the commit, or from the end of the "
        "gateway's cut.",
        f"Failed: {failed}." if failed else "Nothing that fails a run was found.",
        f"Past what is wanted: {over}." if over else "Nothing is past what is wanted.",
    ]


def write(result, path):
    """Writes the page; plots of a FILE.md stand beside it."""
    page = path.suffix == ".html"
    texts = intro(result)
    if page:
        parts = ["<h1>Scale run</h1>", *(f"<p>{html.escape(text)}</p>" for text in texts)]
    else:
        parts = ["# Scale run", *texts]
    for title, heads, rows in tables(result):
        table = tabulate(rows, heads, tablefmt="html" if page else "github")
        parts.append(f"<h2>{html.escape(title)}</h2>{table}" if page else f"## {title}\n\n{table}")
    for number, (title, figure) in enumerate(plots(result)):
        data = io.BytesIO()
        figure.savefig(data, format="png", dpi=90)
        pyplot.close(figure)
        if page:
            image = f"data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}"
            parts.append(f'<h2>{title}</h2><img alt="{title}" src="{image}">')
        else:
            name = f"{path.stem}-{number + 1}.png"
            path.with_name(name).write_bytes(data.getvalue())
            parts.append(f"## {title}\n\n![{title}]({name})")
    path.write_text("\n\n".join(parts) + "\n")
