"""Tests of the reports that nodes make when they pull."""

from __future__ import annotations

from lycheespar.control.api.progress import MAX_REPORTS, ProgressTracker


def test_reports_of_ever_new_nodes_do_not_grow_without_a_bound():
    tracker = ProgressTracker()
    for number in range(MAX_REPORTS + 10):
        tracker.record_revision(f'node-{number}', 1)
        tracker.record_revision('own', number)
    reports = {report.node: report.revision for report in tracker.nodes}
    assert len(reports) == MAX_REPORTS
    assert reports['own'] == MAX_REPORTS + 9
