from __future__ import annotations

import threading
import unittest
from collections import Counter

from cardamomquay.admission import FairQueue
from cardamomquay.admission import Ticket
from cardamomquay.clock import ManualClock
from cardamomquay.clock import SystemClock


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FairQueue(ManualClock(), max_running=1, max_waiting=40)
        self.queue.apply({"large": 3.0, "small": 1.0})

    def enter(self, organisation: str) -> Ticket:
        ticket = self.queue.enter(organisation)
        assert ticket is not None
        return ticket

    def serve(self, tickets: list[Ticket], count: int) -> list[str]:
        """Run `count` requests one after the other and return their organisations."""
        names = []
        for _ in range(count):
            running = next(ticket for ticket in tickets if ticket.is_running)
            names.append(running.organisation)
            self.queue.leave(running)
        return names

    def test_shares_follow_weights_under_contention(self) -> None:
        """Guards against serving requests in the order of arrival."""
        tickets = [self.enter("small") for _ in range(20)]
        tickets += [self.enter("large") for _ in range(20)]
        # The first request started before any other one waited.
        served = Counter(self.serve(tickets, 17)[1:])
        self.assertEqual(served, {"large": 12, "small": 4})

    def test_idle_time_earns_no_credit(self) -> None:
        """Guards against an idle organisation that later starves the others."""
        tickets = [self.enter("large") for _ in range(30)]
        self.serve(tickets, 20)
        tickets += [self.enter("small") for _ in range(10)]
        self.assertLessEqual(self.serve(tickets, 8).count("small"), 3)

    def test_full_queue_replaces_the_request_with_the_last_start_tag(self) -> None:
        """Guards against one organisation that fills the queue and blocks others."""
        # One request runs and 40 wait.
        tickets = [self.enter("small") for _ in range(41)]
        self.assertIsNone(self.queue.enter("small"))
        self.assertIsNotNone(self.queue.enter("large"))
        self.assertTrue(self.queue.is_dropped(tickets[-1]))

    def test_request_is_refused_and_removed_at_its_deadline(self) -> None:
        self.enter("small")
        with self.queue.slot("large", deadline_s=0.0) as refusal:
            self.assertIsNotNone(refusal)
        with self.queue.slot("large", deadline_s=0.0) as refusal:
            self.assertIsNotNone(refusal)

    def test_running_requests_are_limited(self) -> None:
        """Guards against lost wake-ups and exceeding the concurrency limit."""
        queue = FairQueue(SystemClock(), max_running=3, max_waiting=100)
        lock = threading.Lock()
        counts = Counter[str]()

        def work() -> None:
            for _ in range(50):
                with queue.slot("small", SystemClock().now_s() + 10.0) as refusal:
                    with lock:
                        counts["refused"] += refusal is not None
                        counts["now"] += 1
                        counts["most"] = max(counts["most"], counts["now"])
                    with lock:
                        counts["now"] -= 1
                        counts["done"] += 1

        threads = [threading.Thread(target=work) for _ in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20.0)
        self.assertEqual((counts["done"], counts["refused"]), (600, 0))
        self.assertLessEqual(counts["most"], 3)


if __name__ == "__main__":
    unittest.main()
