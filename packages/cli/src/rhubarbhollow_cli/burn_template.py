"""HTML templates of the burn page, without external resources."""

from __future__ import annotations

from string import Template
from typing import Final

PAGE: Final = Template(
    """\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'">
<title>Service-level burn at position $position</title>
<style>
body { font: 14px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1em; }
th, td { border: 1px solid #ccc; padding: 2px 8px; text-align: left; }
td.number { text-align: right; }
svg text { font: 11px sans-serif; }
svg rect.availability { fill: #b2492f; }
svg rect.latency { fill: #3f6f9f; }
svg rect.all { fill: #eee; }
svg rect.bad { fill: #b2492f; }
svg line.reference { stroke: #888; stroke-dasharray: 3 3; }
svg text.reference { fill: #666; text-anchor: middle; }
.ok { color: #2d7a3a; }
.slow_burn { color: #a06a00; }
.fast_burn { color: #b00020; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Release in force: position $position. Nodes: $nodes.
Read at $read_at.</p>
<p>A rate of 1 uses up the error budget at the end of its period. A
service is in slow burn at a rate of 6 or more over both 1h and 6h, and
in fast burn at 14.4 or more over both 5m and 1h.</p>
$services
</body>
</html>
""",
)

SERVICE: Final = Template(
    """\
<section>
<h2>$name: <span class="$state_class">$state</span></h2>
<table>
<tr><th>Objective</th><th>Target</th><th>Budget remaining</th></tr>
<tr><td>availability</td><td>$availability</td>
<td class="number">$availability_remaining</td></tr>
<tr><td>latency</td><td>$latency</td>
<td class="number">$latency_remaining</td></tr>
</table>
$plot
$windows
$parts
</section>""",
)
