#!/usr/bin/env python3
"""Tests of the arithmetic behind docs/CAPACITY.md: extrapolated lines, the sizes between which a budget is exceeded, and
that no figure appears without the run that produced it."""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "bench" / "scale"))

import capacity  # noqa: E402

STRAIGHT = {
    "intercept": 1.0,
    "slope": 2.0,
    "straight": True,
    "points": 4,
    "mean_x": 2.5,
    "squares_x": 5.0,
    "residual_deviation": 0.5,
}


class FakeRun(capacity.Run):
    def __init__(self, values, status="done"):
        self.name = "fake"
        self.data = {
            "slopes": [],
            "points": [
                {"sweep": "servers", "world": {"servers": servers}, "status": status, "measured": {"cost": value}}
                for servers, value in values.items()
            ],
        }


class Lines(unittest.TestCase):
    def test_a_straight_line_is_extrapolated_with_its_error(self):
        value, error = capacity.predict(STRAIGHT, 10)
        self.assertAlmostEqual(value, 21)
        self.assertAlmostEqual(error, 0.5 * (1 / 4 + 7.5**2 / 5) ** 0.5)

    def test_a_curve_is_not_extrapolated(self):
        self.assertIsNone(capacity.predict({**STRAIGHT, "straight": False}, 10))
        self.assertIsNone(capacity.predict(None, 10))
        text = capacity.refusal({"straight": False, "exponent": 1.7, "exponent_error": 0.1})
        self.assertIn("1.70 ± 0.10", text)
        self.assertIn("not extrapolated", text)

    def test_a_missing_line_is_reported_as_not_measured(self):
        self.assertEqual(capacity.refusal(None), capacity.NOT_MEASURED)


class BudgetCrossings(unittest.TestCase):
    def crossing(self, values, status="done"):
        return capacity.breaks_at(FakeRun(values, status), "servers", "servers", "cost", 10)

    def test_the_crossing_lies_between_two_measured_sizes(self):
        self.assertEqual(self.crossing({100: 1, 200: 9, 400: 11, 800: 50}), (200, 400))

    def test_a_budget_never_or_always_exceeded_has_one_bound(self):
        self.assertEqual(self.crossing({100: 1, 200: 2}), (200, None))
        self.assertEqual(self.crossing({100: 11, 200: 22}), (None, 100))

    def test_a_point_that_did_not_end_is_ignored(self):
        self.assertEqual(self.crossing({100: 11}, "stopped"), (None, None))
        self.assertEqual(capacity.verdict_between((None, None), "servers", ""), capacity.NOT_MEASURED)


class Points(unittest.TestCase):
    def test_a_figure_without_a_finished_run_is_not_measured(self):
        self.assertEqual(capacity.figure_or(None, "cost", str), capacity.NOT_MEASURED)
        killed = {"status": "killed"}
        self.assertEqual(capacity.figure_or(killed, "cost", str), f"{capacity.NOT_MEASURED} (killed)")

    def test_a_figure_of_a_stopped_run_is_marked(self):
        stopped = {"status": "stopped", "measured": {"cost": 3, "measured_seconds": 0.4}}
        self.assertEqual(capacity.figure_or(stopped, "cost", str), "3 (stopped at 0.4 s)")


class Page(unittest.TestCase):
    RUNS = {"before": capacity.Run("before", capacity.RESULTS / "before.json")}

    def test_a_changed_figure_is_rendered_anew(self):
        page = capacity.render("<!-- capacity.py: given -->\n<!-- end -->\n", self.RUNS)
        self.assertIn("696 / 188", page)
        tampered = page.replace("696 / 188", "697 / 188")
        self.assertNotEqual(tampered, capacity.render(tampered, self.RUNS))
        self.assertEqual(page, capacity.render(tampered, self.RUNS))

    def test_an_unknown_block_is_refused(self):
        with self.assertRaises(KeyError):
            capacity.render("<!-- capacity.py: nonsense -->\n<!-- end -->\n", self.RUNS)

    def test_the_page_has_every_block(self):
        page = capacity.PAGE.read_text()
        for name in capacity.BLOCKS:
            self.assertIn(f"<!-- capacity.py: {name} -->", page)


if __name__ == "__main__":
    unittest.main()
