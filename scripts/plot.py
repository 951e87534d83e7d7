"""Draws latency over time as SVG, with the events of the time line marked.

    python3 scripts/plot.py RESULT.json [--timeline EVENTS.json]
        [--start-ms MS] > plot.svg

RESULT.json is written by standin-load, EVENTS.json by
`skylark-ctl timeline --json`. --start-ms is the wall time of the load's start.
"""

import argparse
import json
from html import escape

WIDTH, HEIGHT, LEFT, TOP = 960, 360, 60, 30
COLOURS = ["#1565c0", "#ef6c00", "#2e7d32", "#6a1b9a", "#c62828"]
SHOWN_KINDS = {"zone", "configuration", "isolation", "pause", "drain"}


def series(result, quantile):
    for name, flow in result["flows"].items():
        yield name, [s["latency"][quantile] for s in flow["seconds"]]


def axis(top_ms, seconds):
    parts = []
    for i in range(5):
        y = TOP + HEIGHT * (1 - i / 4)
        parts.append(f'<line x1="{LEFT}" x2="{LEFT + WIDTH}" y1="{y}" '
                     f'y2="{y}" stroke="#ddd"/>'
                     f'<text x="{LEFT - 6}" y="{y + 4}" text-anchor="end">'
                     f'{top_ms * i / 4:.0f}</text>')
    for second in range(0, seconds + 1, max(1, seconds // 10)):
        x = LEFT + WIDTH * second / max(1, seconds)
        parts.append(f'<text x="{x}" y="{TOP + HEIGHT + 16}" '
                     f'text-anchor="middle">{second} s</text>')
    return parts


def marks(events, start_ms, seconds):
    seen = set()
    for event in events:
        text = f'{event["kind"]} {event["subject"]} {event["detail"]}'
        at = ((event["stamp"] >> 16) - start_ms) / 1000
        if event["kind"] not in SHOWN_KINDS or not 0 <= at <= seconds:
            continue
        if text in seen:  # the first process that tells is enough
            continue
        seen.add(text)
        x = LEFT + WIDTH * at / seconds
        yield (f'<line x1="{x}" x2="{x}" y1="{TOP}" y2="{TOP + HEIGHT}" '
               f'stroke="#999" stroke-dasharray="4 3"/>'
               f'<text x="{x + 3}" y="{TOP + 12 * (len(seen) % 8) + 10}" '
               f'font-size="10" fill="#555">{escape(text)}</text>')


def draw(result, quantile, events, start_ms):
    lines = list(series(result, quantile))
    seconds = max(len(values) for _, values in lines) - 1
    top_ms = 1.1 * max(max(values) for _, values in lines) or 1
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" '
             f'viewBox="0 0 {LEFT + WIDTH + 20} {TOP + HEIGHT + 30}" '
             f'font-family="sans-serif" font-size="12">',
             f'<text x="{LEFT}" y="16">{quantile} by second, ms</text>']
    parts += axis(top_ms, seconds)
    parts += marks(events, start_ms, max(1, seconds))
    for index, (name, values) in enumerate(lines):
        colour = COLOURS[index % len(COLOURS)]
        points = " ".join(
            f"{LEFT + WIDTH * i / max(1, seconds):.1f},"
            f"{TOP + HEIGHT * (1 - value / top_ms):.1f}"
            for i, value in enumerate(values))
        parts.append(f'<polyline points="{points}" fill="none" '
                     f'stroke="{colour}" stroke-width="2"/>'
                     f'<text x="{LEFT + WIDTH - 90}" '
                     f'y="{TOP + 16 * (index + 1)}" fill="{colour}">'
                     f'{escape(name)}</text>')
    return "\n".join(parts + ["</svg>"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("result")
    parser.add_argument("--timeline")
    parser.add_argument("--start-ms", type=int, default=0)
    parser.add_argument("--quantile", default="p99_ms")
    args = parser.parse_args()
    with open(args.result, encoding="utf-8") as file:
        result = json.load(file)
    events = []
    if args.timeline:
        with open(args.timeline, encoding="utf-8") as file:
            events = json.load(file)["events"]
    print(draw(result, args.quantile, events, args.start_ms))


if __name__ == "__main__":
    main()
