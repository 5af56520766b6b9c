#!/usr/bin/env python3
"""Writes days for `fleetbench run SITE DAY`: each kind of trouble alone, twice, or crossed with others, by a seed.

    tools/trouble-days.py FOLDER [--seed N] [--count N] [--alone | --control]

FOLDER gets one TOML file a day. `--alone` writes a day for each trouble in the list, twice on that day; `--control` draws three
to seven troubles of the control side and of state: cuts of 12 to 20 s, races of 60, two disks lost one after the other,
machines that join, leave and are replaced, and a final fault. Otherwise each of COUNT days draws three to six troubles and,
every other day, a final fault. The list follows what `fleetbench kinds` prints.
"""
import argparse
import os
import random

# Kind, what it needs beside `at`, and where it is planned work.
FAULTS = [
    "burst x=2.0 for_s=4.0",
    "answer_lost share=0.5 x=0.04 for_s=5.0",
    "answer_lost how=reset share=0.5 x=0.05 for_s=4.0",
    "garble share=0.5 x=0.03 for_s=5.0",
    "garble how=extra share=0.5 x=0.03 for_s=5.0",
    "garble how=unframed share=0.5 x=0.03 for_s=5.0",
    "garble how=early share=0.5 x=0.03 for_s=5.0",
    "node_kill share=0.2 for_s=2.0",
    "node_kill share=0.2 for_s=3.0 how=power",
    "node_kill on=core count=1 for_s=3.0 how=leader",
    "node_kill on=core count=1 for_s=3.0 how=power",
    "node_kill on=core count=1 how='leader race drain'",
    "node_kill on=core count=1 for_s=3.0 how='meet drain'",
    "node_kill on=store count=1 for_s=2.5",
    "node_kill on=store count=1 for_s=2.5 how=power",
    "node_freeze share=0.2 for_s=3.0",
    "node_freeze on=core count=1 for_s=3.0 how=leader",
    "node_freeze on=core count=1 for_s=2.0 how=turn",
    "node_freeze on=store count=1 for_s=3.2",
    "herd_kill share=0.6",
    "herd_kill share=0.55 for_s=2.0 how=power",
    "herd_kill on=core",
    "herd_kill on=core how=off for_s=1.0",
    "herd_kill how='taken power' for_s=1.0",
    "herd_kill how='taken power all' for_s=1.0",
    "replace_core",
    "replace_core how=planned x=2.0",
    "replace_core how=oldest",
    "replace_core on=store x=2.0",
    "replace_core on=store how=planned x=2.0",
    "after_ack_kill for_s=3.0",
    "after_ack_kill how=timed for_s=2.0",
    "after_ack_kill how=taken for_s=1.8",
    "after_ack_kill how='taken gone' for_s=1.8",
    "after_ack_wipe for_s=2.0",
    "after_ack_wipe how=timed for_s=2.0",
    "after_ack_kill on=store count=1 for_s=2.2",
    "after_ack_wipe on=store count=1 for_s=2.0",
    "after_ack_wipe on=store count=1 how=oldest for_s=2.0",
    "core_cut count=1 for_s=5.0 how=leader",
    "core_cut count=1 for_s=5.0 how='leader race'",
    "core_cut count=1 for_s=5.0 how=behind",
    "core_cut for_s=4.0 how=split",
    "core_cut count=1 for_s=4.0 how=all",
    "core_cut count=1 for_s=4.0 how=near",
    "core_cut count=1 for_s=4.0 how=oldest",
    "core_cut count=1 for_s=4.0 how=one_way",
    "core_cut count=1 for_s=4.0 how=seeds",
    "core_cut count=1 for_s=4.0 how=both",
    "core_cut count=1 for_s=4.0 how=lure",
    "core_cut count=1 for_s=4.0 how=relieve",
    "core_cut on=store count=1 for_s=4.5",
    "core_cut on=store count=1 for_s=4.5 how=one_way",
    "ack_lost x=0.6 for_s=8.0",
    "give_up share=0.2",
    "srv_crash share=0.15 for_s=4.0",
    "srv_crash share=0.15 for_s=4.0 how=dark",
    "srv_crash share=0.15 how=gone",
    "srv_slow share=0.15 x=4 for_s=5.0",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=errors",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=shed",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=busy",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=hang",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=reset",
    "srv_grey share=0.15 x=0.4 for_s=5.0 how=mute",
    "srv_grey share=0.15 x=8 for_s=5.0 how=slow",
    "srv_cut share=0.2 for_s=5.0",
    "srv_cut share=0.2 for_s=5.0 how=fronts x=0.3",
    "srv_cut share=0.2 for_s=5.0 how=some x=0.3",
    "srv_cut share=0.2 for_s=5.0 how=one_way",
    "replace_with_reuse share=0.15",
    "replace_with_reuse share=0.15 how=drain",
    "replace_with_reuse share=0.15 how=dark",
    "scale_in share=0.15 how=spot x=2",
    "node_slow share=0.2 x=5 for_s=4.0",
    "node_slow on=core count=1 x=5 for_s=4.0",
    "node_slow on=store count=1 x=5 for_s=4.0",
    "seed_turnover",
    "disk_slow count=1 x=30 for_s=5.0",
    "disk_slow on=store count=1 x=30 for_s=5.0",
    "disk_full count=1 for_s=5.0",
    "disk_full on=store count=1 for_s=5.0",
    "disk_stall count=1 for_s=4.0",
    "disk_stall on=store count=1 for_s=4.0",
    "clock_step x=2000 share=0.3 for_s=5.0 how=back",
    "clock_step x=2000 share=0.3 for_s=5.0 how=ahead",
    "reset_conns share=0.2 x=0.5",
    "node_cut share=0.2 for_s=4.0",
    "node_cut share=0.2 for_s=4.0 how=all",
    "node_cut share=0.2 for_s=4.0 how=servers",
]
PLANS = [
    "release share=0.5 x=1.0 gap_s=1.0",
    "roll_term share=0.5 x=1.0 gap_s=1.2",
    "roll_term how=busy gap_s=1.0",
    "roll_term on=core share=1 x=1.0 gap_s=5.0",
    "roll_term on=store share=1 x=1.0 gap_s=5.0",
    "add_nodes",
    "add_nodes on=store count=1",
    "config_change how=route",
    "config_change how=weights",
    "config_change how=timeout",
    "config_change how=idle",
    "config_race count=3 gap_s=1.0",
    "bad_config count=3 gap_s=1.0",
    "big_config count=300",
    "retire for_s=8.0",
    "retire for_s=8.0 how=wipe",
    "scale_out share=0.3 gap_s=1.0",
    "scale_in share=0.15",
    "hup share=0.5 gap_s=0.5",
]
CLOSINGS = [
    'kind = "power_off_all", down_s = 1.2',
    'kind = "power_off_all", down_s = 1.2, how = "all taken"',
    'kind = "wipe_after_ack", down_s = 1.0',
    'kind = "wipe_after_ack", down_s = 1.0, how = "all"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "timed"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "taken all"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "oldest all"',
    'kind = "kill_all", down_s = 0.8',
]
# Who is cut off for long, and what comes with it.
CUT_WAYS = [
    "leader", "leader meet", "leader race", "leader hard", "all leader hard", "all leader race", "reader", "reader race",
    "oldest", "oldest race", "turn meet", "seed", "seeds", "one_way leader", "one_way oldest", "near leader", "both",
    "relieve", "relieve leader", "lure", "lure leader", "behind", "leader drain", "reset leader", "refuse leader", "split",
]
CONTROL_FAULTS = [
    "core_cut count=1 for_s={cut} how='{way}'",
    "core_cut count=1 for_s={cut} how='{way}'",
    "core_cut count=1 for_s={cut} how='{way}'",
    "core_cut on=store count=1 for_s={cut}",
    "core_cut on=store count=1 for_s={cut} how='{store_way}'",
    "core_cut on=store for_s={short} how=split",
    "node_freeze on=core count=1 for_s={cut} how=leader",
    "node_freeze on=store count=1 for_s={cut}",
    "node_kill on=core count=1 for_s={short} how='leader race drain'",
    "node_kill on=core count=1 for_s={short} how='power meet'",
    "node_kill on=store count=1 for_s={short} how=power",
    "node_slow on=core count=1 x=8 for_s={cut}",
    "node_slow on=store count=1 x=8 for_s={cut}",
    "disk_stall on=core count=1 for_s={cut}",
    "disk_stall on=store count=1 for_s={short}",
    "disk_slow on=core count=1 x=30 for_s={cut}",
    "disk_full on=core count=1 for_s={cut}",
    "disk_full on=store count=1 for_s={short}",
    "herd_kill on=core",
    "herd_kill on=core how=off for_s=1.5",
    "herd_kill how='taken power' for_s=1.0",
    "after_ack_wipe for_s={short}",
    "after_ack_wipe how=timed for_s={short}",
    "after_ack_wipe on=store count=1 how=oldest for_s={short}",
    "after_ack_wipe on=store count=1 for_s={short}",
    "after_ack_kill for_s={short}",
    "after_ack_kill how=timed for_s={short}",
    "replace_core x={short}",
    "replace_core how=oldest x={short}",
    "replace_core how=planned x=2.0",
    "replace_core on=store x={short}",
    "replace_core on=store how=oldest x={short}",
    "replace_core on=store how=planned x=2.0",
    "ack_lost x=0.7 for_s={cut}",
    "clock_step x=8000 share=0.6 for_s={short} how=back",
    "clock_step x=8000 share=0.6 for_s={short} how=ahead",
    "srv_cut share=0.2 for_s={short}",
    "node_cut share=0.2 for_s={short} how=all",
    "reset_conns share=0.3 x=0.6",
    "burst x=2.0 for_s=4.0",
]
CONTROL_PLANS = [
    "config_race count=60 gap_s=0.25",
    "config_race count=12 gap_s=0.4",
    "bad_config count=12 gap_s=0.7",
    "big_config count=600",
    "add_nodes on=store",
    "add_nodes on=store count=1",
    "add_nodes",
    "retire for_s=8.0",
    "retire for_s=8.0 how=wipe",
    "roll_term on=core share=1 x=1.0 gap_s=5.0",
    "roll_term on=store share=1 x=1.0 gap_s=5.0",
    "scale_in share=0.15",
    "release share=0.5 x=1.0 gap_s=1.0",
    "config_change how=route",
]
# Around faults on the core the operator keeps changing things.
CHANGES = [1.5, 6.5, 8.0, 9.5, 11.0, 12.5, 14.0, 15.5, 17.0, 18.5, 20.0]


def entry(trouble, at):
    """One trouble as an inline table."""
    kind, _, rest = trouble.partition(" ")
    fields = [f"at = {at}", f'kind = "{kind}"']
    for field in split_fields(rest):
        name, value = field.split("=", 1)
        value = value.strip("'")
        is_text = name in ("how", "on", "class", "zone", "service")
        fields.append(f'{name} = "{value}"' if is_text else f"{name} = {value}")
    return "{ " + ", ".join(fields) + " }"


def split_fields(text):
    """Fields separated by spaces, where quoted values may hold spaces."""
    fields, quoted, field = [], False, ""
    for letter in text:
        if letter == "'":
            quoted = not quoted
        if letter == " " and not quoted:
            fields.append(field)
            field = ""
        else:
            field += letter
    return [item for item in fields + [field] if item]


def day(name, seed, plan, faults, closing):
    """A day's file."""
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        lines.append("closing = { " + closing + " }")
    changes = [entry("config_change how=idle", at) for at in CHANGES]
    lines.append("plan = [\n  " + ",\n  ".join(plan + changes) + ",\n]")
    lines.append("faults = [\n  " + ",\n  ".join(faults) + ",\n]" if faults else "faults = []")
    return "\n".join(lines) + "\n"


def control_troubles(draw):
    """Three to seven troubles of the control side and of state: what is planned, and what is not."""
    def fill(trouble):
        return trouble.format(
            cut=round(draw.uniform(12, 20), 1), short=round(draw.uniform(1, 4), 1), way=draw.choice(CUT_WAYS),
            store_way=draw.choice(["one_way", "oldest", "all", "near", "oldest one_way"]))
    faults = [entry(fill(draw.choice(CONTROL_FAULTS)), round(draw.uniform(1.5, 16), 2)) for _ in range(draw.randint(2, 5))]
    if draw.random() < 0.3:
        # Two disks, one after the other, as soon as the first has been made good.
        first, on = round(draw.uniform(3, 9), 2), draw.choice(["core", "store"])
        how = " how=oldest" if on == "store" else ""
        wipe = f"after_ack_wipe on={on} count=1 for_s=1.0{how}"
        faults += [entry(wipe, first), entry(wipe, round(first + 5.6, 2))]
    plan = [entry(draw.choice(CONTROL_PLANS), round(draw.uniform(1, 14), 2)) for _ in range(draw.randint(1, 2))]
    return plan, faults


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--alone", action="store_true")
    parser.add_argument("--control", action="store_true")
    arguments = parser.parse_args()
    draw = random.Random(arguments.seed)
    os.makedirs(arguments.folder, exist_ok=True)
    days = []
    if arguments.alone:
        for index, trouble in enumerate(FAULTS + PLANS):
            twice = [entry(trouble, 6.0), entry(trouble, 17.0)]
            is_plan = trouble in PLANS
            name = f"alone-{index:03}-{trouble.split(' ')[0]}"
            closing = CLOSINGS[index % len(CLOSINGS)] if index % 2 else None
            days.append((name, twice if is_plan else [], [] if is_plan else twice, closing))
    elif arguments.control:
        for index in range(arguments.count):
            plan, faults = control_troubles(draw)
            days.append((f"control-{arguments.seed}-{index:03}", plan, faults, draw.choice(CLOSINGS)))
    else:
        for index in range(arguments.count):
            faults = [entry(draw.choice(FAULTS), round(draw.uniform(2, 21), 2)) for _ in range(draw.randint(2, 4))]
            plan = [entry(draw.choice(PLANS), round(draw.uniform(2, 15), 2)) for _ in range(draw.randint(1, 2))]
            closing = draw.choice(CLOSINGS) if index % 2 else None
            days.append((f"mixed-{arguments.seed}-{index:03}", plan, faults, closing))
    for name, plan, faults, closing in days:
        with open(os.path.join(arguments.folder, name + ".toml"), "w", encoding="utf-8") as file:
            file.write(day(name, draw.randrange(1, 10**9), plan, faults, closing))


if __name__ == "__main__":
    main()
