"""Command line of the lab."""

from __future__ import annotations

from pathlib import Path

from absl import app
from absl import flags

from cardamomquay_dev.lab._experiment import load_experiment
from cardamomquay_dev.lab._measure import run_experiment
from cardamomquay_dev.lab._plot import save_plot
from cardamomquay_dev.lab._table import to_table

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "out", "build/lab", "Folder to which the plot and the table are written."
)
EXIT_INVALID_EXPERIMENT = 2


def main(argv: list[str]) -> int:
    """Run an experiment and return the exit code."""
    if len(argv) != 2:
        raise app.UsageError("expected the path of one experiment")
    path = Path(argv[1])
    try:
        experiment = load_experiment(path)
    except (OSError, ValueError) as exc:
        print(f"{path}: {exc}")
        return EXIT_INVALID_EXPERIMENT
    results = run_experiment(experiment)
    table = to_table(results)
    out = Path(FLAGS.out)
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{path.stem}.md").write_text(table, encoding="utf-8")
    save_plot(experiment, results, out / f"{path.stem}.svg")
    print(table, end="")
    return 0


if __name__ == "__main__":
    app.run(main)
