#!/usr/bin/env python3
"""Plays days of deployments on several variants of the code with the same seeds, and prints the paired table.

  misc/paired_days.py --bench BENCH --why TEXT --seeds 11-15 --play SITE.toml:scale-1,scale-2 \\
      --variant before=HEAD~1 --variant after=HEAD --variant 'trial=HEAD+some.patch'

Each variant is a commit, with patches behind plus signs applied to it, in a scratch clone. The first variant is what the
others are compared with. The bench's journal entries of all plays are copied into this repository's journal. Exits 1
when a rule was broken, a play failed or a variant did not build.
"""
import argparse
import collections
import concurrent.futures
import json
import os
import shutil
import statistics
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def prepare(variant, folder, bench):
    """Clones and builds one variant; returns its name and folder."""
    name, _, source = variant.partition("=")
    commit, *patches = source.split("+")
    clone = os.path.join(folder, name)
    subprocess.run(["git", "clone", "-q", "--shared", "--no-checkout", ROOT, clone], check=True)
    revision = subprocess.run(["git", "-C", ROOT, "rev-parse", commit], check=True, capture_output=True, text=True)
    subprocess.run(["git", "-C", clone, "checkout", "-q", "--detach", revision.stdout.strip()], check=True)
    for patch in patches:
        subprocess.run(["git", "-C", clone, "apply", os.path.abspath(patch)], check=True)
    subprocess.run([bench, "build"], cwd=clone, check=True, stdout=subprocess.DEVNULL)
    return name, clone


def play(bench, clone, site, day, seed, why):
    """One day; its report, or the bench's words where there is none."""
    report = os.path.join(clone, "..", f"{os.path.basename(clone)}-{os.path.basename(site)}-{day}-{seed}.json")
    run = subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--why", why, "--report", report],
                         cwd=clone, capture_output=True, text=True, check=False)
    if not os.path.exists(report):
        return run.stdout[-500:] + run.stderr[-500:]
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def figures(report):
    """What is compared of one day."""
    prices = {name: (amount, cost) for name, amount, cost in report["prices"]}
    result = {"worth": report["G"], "served": report["served"], "refused": report["refused"], "failed": report["failed"],
              "worst windows": next(value for name, _, value in report["parts"] if name == "worst windows"),
              "prices": sum(cost for _, cost in prices.values()),
              "reread": prices["1,000 tokens of shared parts read again"][1],
              "moved": prices["GB of prompt memory moved"][1], "between zones": prices["GB between zones"][1]}
    for kind in report["classes"]:
        owed = kind["n"] - kind["not_owed"]
        result["on time " + kind["name"]] = kind["in_aim"] / owed if owed else 0.0
    return result


def error_of_mean(values):
    return statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0


def print_table(names, results):
    """One block a day: each figure of each variant, the differences to the first with the error of their mean."""
    days = list(dict.fromkeys(key[1:3] for key in results))
    for site, day in days + [(None, None)]:
        seeds = [key[1:] for key in results if key[0] == names[0] and site in (None, key[1]) and day in (None, key[2])]
        seeds = [each for each in seeds if all((name, *each) in results for name in names)]
        if not seeds:
            continue
        print(f"\n{site + ' ' + day if site else 'all days'}, {len(seeds)} plays a variant")
        per_figure = collections.OrderedDict.fromkeys(results[(names[0], *seeds[0])])
        for figure in per_figure:
            columns = []
            for name in names:
                values = [results[(name, *each)].get(figure, 0.0) for each in seeds]
                text = f"{statistics.mean(values):8.4f}"
                if name != names[0]:
                    less = [value - results[(names[0], *each)].get(figure, 0.0) for value, each in zip(values, seeds)]
                    text += f" ({statistics.mean(less):+.4f} ±{error_of_mean(less):.4f})"
                columns.append(f"{name} {text}")
            print(f"  {figure:28}", "   ".join(columns))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--seeds", default="11-13", help="FIRST-LAST")
    parser.add_argument("--play", action="append", required=True, metavar="SITE:DAY,DAY")
    parser.add_argument("--variant", action="append", required=True, metavar="NAME=COMMIT[+PATCH]")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    bench = os.path.abspath(options.bench)
    first, last = (int(each) for each in options.seeds.split("-"))
    folder = tempfile.mkdtemp(prefix="paired-")
    try:
        clones = dict(prepare(each, folder, bench) for each in options.variant)
        names, results, faults = list(clones), {}, []
        tasks = [(name, os.path.abspath(site), day, seed) for site, _, days in (each.partition(":") for each in options.play)
                 for day in days.split(",") for seed in range(first, last + 1) for name in names]
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            plays = {task: pool.submit(play, bench, clones[task[0]], *task[1:], f"{options.why} [{task[0]}]")
                     for task in tasks}
        for (name, site, day, seed), done in plays.items():
            report, label = done.result(), os.path.basename(site).removesuffix(".toml")
            if isinstance(report, str) or report["fault"]:
                faults.append(f"{name} {label} {day} seed {seed}: {report if isinstance(report, str) else report['fault']}")
                continue
            faults += [f"{name} {label} {day} seed {seed}: rule {rule}" for rule in report["breaks"]]
            results[(name, label, day, seed)] = figures(report)
        for clone in clones.values():
            entries = subprocess.run(["git", "-C", clone, "status", "--porcelain", "-uall", "--", "journal"], check=True,
                                     capture_output=True, text=True).stdout.splitlines()
            for entry in entries:
                path = entry[3:]
                if os.path.isfile(os.path.join(clone, path)):
                    os.makedirs(os.path.dirname(os.path.join(ROOT, path)), exist_ok=True)
                    shutil.copy(os.path.join(clone, path), os.path.join(ROOT, path))
        print_table(names, results)
        for each in faults:
            print("FAULT", each)
        sys.exit(1 if faults else 0)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
