#!/usr/bin/env python3
"""Writes deployments of other shapes for `fleetbench hunt`: each is a site file with one thing changed.

    tools/other-deployments.py SITE FOLDER

FOLDER gets a site file a shape, and a copy of the word lists beside SITE, which the bench looks for there. Site files are not
kept in the repository. A shape that does not fit SITE is left out, and said so.
"""
import os
import re
import shutil
import sys


class NoFit(Exception):
    """SITE has nothing that the shape would change."""


def changed(site, pattern, replacement, count=0):
    result, hits = re.subn(pattern, replacement, site, count=count, flags=re.M)
    if not hits:
        raise NoFit(pattern)
    return result


def zones(site):
    found = re.findall(r'\{ name = "([^"]+)", region = "([^"]+)" \}', site)
    if len(found) < 3:
        raise NoFit("three zones")
    return found


def two_losses(site):
    """Five controllers, five storage machines, and two of them may go at once."""
    site = changed(site, r"^machines = 1$", "machines = 2")
    site = changed(site, r'(class = "core", zone = "[^"]*-[ab]", count = )1', r"\g<1>2")
    return changed(site, r'(class = "store", zone = "[^"]*-a", count = )1', r"\g<1>2")


def three_regions(site):
    for (zone, region), new in zip(zones(site), ["one", "two", "three", "three"]):
        site = site.replace(f'{{ name = "{zone}", region = "{region}" }}', f'{{ name = "{zone}", region = "{new}" }}')
    return changed(site, r"^regions = 0$", "regions = 1")


def one_relay(site):
    """One relay with a whole core, in the first zone."""
    first = zones(site)[0][0]

    def relay(match):
        count = 1 if f'"{first}"' in match.group() else 0
        line = re.sub(r"count = \d+", f"count = {count}", match.group())
        return re.sub(r"cpu_share = [0-9.]+", "cpu_share = 1.0", line)

    return changed(site, r'^.*class = "front".*$', relay)


def two_zones(site):
    names = [name for name, _ in zones(site)]
    for number, name in enumerate(names[2:]):
        site = site.replace(f'"{name}"', f'"{names[number]}"')
    lines = []
    for line in site.split("\n"):
        is_zone = re.match(r'\s*\{ name = "[^"]+", region', line)
        if not (is_zone and line in lines):
            lines.append(line)
    return "\n".join(lines)


def uneven_endpoints(site):
    pattern = r'(servers = \[\{ zone = "[^"]+", count = )(\d+)(.*?count = \d+.*?count = )\d+'
    return changed(site, pattern, lambda found: f"{found.group(1)}{int(found.group(2)) + 3}{found.group(3)}1")


def third_of_memory(site):
    return changed(site, r'(class = "front".*?memory_mb = )(\d+)', lambda found: found.group(1) + str(int(found.group(2)) // 3))


SHAPES = {
    "zone-may-go": lambda site: changed(site, r"^zones = 0$", "zones = 1"),
    "far-zones": lambda site: changed(site, r"^cross_zone_ms = .*$", "cross_zone_ms = 40.0"),
    "quick-heartbeats": lambda site: changed(site, r"^beat_ms = .*$", "beat_ms = 300"),
    "slow-heartbeats": lambda site: changed(site, r"^beat_ms = .*$", "beat_ms = 5000"),
    "short-retention": lambda site: changed(site, r"keep_s = [0-9.]+", "keep_s = 5.0"),
    "long-retention": lambda site: changed(site, r"keep_s = [0-9.]+", "keep_s = 600.0"),
    "third-of-memory": third_of_memory,
    "few-connections": lambda site: changed(site, r"(slots = 6, queue = 24, conn_cap = )\d+", r"\g<1>14"),
    "fewer-connections-than-relays": lambda site: changed(site, r"conn_cap = \d+", "conn_cap = 5"),
    "many-routes": lambda site: changed(site, r"^idle_routes = .*$", "idle_routes = 3000"),
    "slow-disks": lambda site: changed(site, r"sync_ms = [0-9.]+", "sync_ms = 40.0"),
    "two-losses": two_losses,
    "three-regions": three_regions,
    "one-relay": one_relay,
    "two-zones": two_zones,
    "uneven-endpoints": uneven_endpoints,
}


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    source, folder = sys.argv[1:]
    os.makedirs(folder, exist_ok=True)
    with open(source, encoding="utf-8") as file:
        site = file.read()
    for name, shape in SHAPES.items():
        try:
            text = changed(shape(site), r'^name = "([^"]*)"$', rf'name = "\1-{name}"', 1)
        except NoFit as reason:
            print(f"{name} does not fit: {reason}", file=sys.stderr)
            continue
        with open(os.path.join(folder, f"{name}.toml"), "w", encoding="utf-8") as file:
            file.write(text)
    for words in ("wire.json", "CUT"):
        path = os.path.join(os.path.dirname(source), words)
        if os.path.exists(path):
            shutil.copy(path, folder)


if __name__ == "__main__":
    main()
