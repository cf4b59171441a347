#!/usr/bin/env python3
"""Splits what a day on the users' bench loses, from the bench's reports.

  fleetbench run SITE DAY --report R.json
  bench-account.py --main-class NAME [--gateway-part 0.66] R.json...

One line a report: the worth, its parts, and a ceiling. For the ceiling, every
late or refused request counts as served in time, and only the VMs of gateways
are paid for. Requests that servers failed, that found no VM, and streams that
were cut stay lost. --main-class is the kind of request that nearly all worth comes
from. --gateway-part is the part of the price of VMs that remains without
sidecars, measured by a run without them.
"""
import argparse
import json
import math

NINES = 3  # The share that is not served counts as -log10(share) / NINES.
LATE_LOSS = 0.84  # What a late answer loses: 110 of 130 on the sheet.


def part_values(report):
    return {name: (weight, value) for name, weight, value in report["parts"]}


def lost_for_good(report):
    """Returns the requests that nobody could serve."""
    return sum(n for cause, n, _ in report["unserved_by"] if cause != "503")


def ceiling(report, main_class, gateway_part):
    parts = part_values(report)
    owed = report["all"]["n"] - report["all"]["not_owed"]
    total = 0.0
    for name, (weight, value) in parts.items():
        if name == "nines":
            lost = max(lost_for_good(report) / owed, 10**-NINES)
            value = min(1, -math.log10(lost) / NINES)
        elif name == "whole day":
            value = min(1, value + late_loss(report, main_class))
        elif name == "worst class":
            value = min(served_part(c) for c in report["classes"])
        total += weight * value
    vms = sum(p[2] for p in report["prices"] if p[0] == "machine-seconds")
    return total - gateway_part * vms


def served_part(request_class):
    owed = request_class["n"] - request_class["not_owed"]
    worth = request_class["worth"]
    late_or_refused = request_class["late"] + request_class["refused"]
    return min(1, worth + late_or_refused / owed) if owed else 1


def late_loss(report, main_class):
    """Returns the part of the day's worth that late and refused requests lost."""
    main = next(c for c in report["classes"] if c["name"] == main_class)
    owed = main["n"] - main["not_owed"]
    return LATE_LOSS * (main["late"] + main["refused"]) / owed if owed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--main-class", required=True)
    parser.add_argument("--gateway-part", type=float, default=1)
    parser.add_argument("reports", nargs="+")
    args = parser.parse_args()
    for path in args.reports:
        with open(path) as file:
            report = json.load(file)
        parts = part_values(report)
        prices = sum(p[2] for p in report["prices"])
        causes = " ".join(f"{c}={n}" for c, n, _ in report["unserved_by"])
        values = " ".join(f"{n}={v:.3f}" for n, (_, v) in parts.items())
        print(
            f"{path}: worth={report['G']:.3f} "
            f"ceiling={ceiling(report, args.main_class, args.gateway_part):.3f} "
            f"{values} prices={prices:.3f} late={report['all']['late']} | {causes}"
        )


if __name__ == "__main__":
    main()
