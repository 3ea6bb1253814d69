"""Plot of tail latency against load."""

from pathlib import Path

import matplotlib

from bench.virtual.summary import Row

__all__ = ["plot_tail"]

TOP_MS = 200.0


def plot_tail(rows: list[Row], path: Path) -> None:
    """
    Plot p99 against load with one panel per site and one line per policy.

    :param rows: rows of all sites
    :param path: image file to write
    """
    matplotlib.use("Agg")
    from matplotlib import pyplot

    shifting = [row for row in rows if row.case == "shifting"]
    sites = list(dict.fromkeys(row.site for row in shifting))
    figure, panels = pyplot.subplots(1, len(sites), figsize=(6 * len(sites), 4))
    for panel, site in zip(panels, sites, strict=True):
        own = [row for row in shifting if row.site == site]
        for policy in dict.fromkeys(row.policy for row in own):
            line = sorted((row.load, row.p99_ms) for row in own if row.policy == policy)
            width = 2.5 if policy == "tokens" else 1.0
            panel.plot(*zip(*line, strict=True), label=policy, linewidth=width)
        panel.set_title(site)
        panel.set_xlabel("load over capacity")
        panel.set_ylabel("p99 in ms")
        panel.set_ylim(0.0, TOP_MS)
    panels[0].legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
