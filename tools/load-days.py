#!/usr/bin/env python3
"""Writes quiet days with more traffic for `fleetbench run SITE DAY --no-cpu`: goodput over load.

    tools/load-days.py SITE FOLDER --times 1 2 3 4 6 [--seed N] [--day quiet-1]

FOLDER gets one TOML file a factor: the traffic of the site's DAY with each `per_s` multiplied by it, and no trouble. Site files
are read, not kept.
"""
import argparse
import os
import re
import tomllib


def traffic_lines(site, day, times):
    """The lines of the day's traffic with each rate multiplied."""
    with open(site, encoding="utf-8") as file:
        text = file.read()
    begin = text.index(f'name = "{day}"')
    found = re.compile(r"^traffic = \[\n(.*?)^\]", re.M | re.S).search(text, begin)
    multiplied = lambda match: f"per_s = {float(match.group(1)) * times:.4f}"
    return re.sub(r"per_s = ([0-9.]+)", multiplied, found.group(1))


def day_file(name, seed, traffic):
    """A day without trouble."""
    return f'name = "{name}"\nslot = "quiet"\nseed = {seed}\nplan = []\nfaults = []\ntraffic = [\n{traffic}]\n'


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("folder")
    parser.add_argument("--times", type=float, nargs="+", required=True)
    parser.add_argument("--seed", type=int, default=71)
    parser.add_argument("--day", default="quiet-1")
    arguments = parser.parse_args()
    with open(arguments.site, "rb") as file:
        site_name = tomllib.load(file)["name"]
    os.makedirs(arguments.folder, exist_ok=True)
    for times in arguments.times:
        name = f"load-{site_name}-x{times:g}"
        traffic = traffic_lines(arguments.site, arguments.day, times)
        with open(os.path.join(arguments.folder, name + ".toml"), "w", encoding="utf-8") as file:
            file.write(day_file(name, arguments.seed, traffic))


if __name__ == "__main__":
    main()
