"""Everything that can happen in small models of the control state (tests/cluster/control_model.py), their states counted; and
that each guard of a majority is missed when it is taken away. The whole of it, with all changes, the wipe and the loss in one
model, is larger than a test run: it is visited in the parts that stand here."""

from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.cluster.control_plane.state import ControlState

from .control_model import Explorer

# The changes, what may happen beside losses of requests, copies and any order of arrival; and the states there are.
MODELS = (
    ("x y", {"wipes": 1, "losses": 1}, 44082),
    ("y replace finish", {"wipes": 0, "losses": 0}, 47782),
    ("replace finish", {"wipes": 1, "losses": 0}, 15136),
)


def majority_of(group):
    """A majority of one group alone, where two have to agree."""

    def has_quorum(self, members, decided_epoch=0):
        chosen = getattr(self, group) or self.voters
        return len(set(chosen) & set(members)) * 2 > len(chosen)

    return mock.patch.object(ControlState, "has_quorum", has_quorum)


class TestModel(testtools.TestCase):
    def test_nothing_goes_wrong_in_any_state(self):
        for names, counts, states in MODELS:
            with self.subTest(names):
                explorer = Explorer(names, again=0, **counts)
                self.assertThat(explorer.run(), Equals(None), names)
                self.assertThat(explorer.states, Equals(states), names)

    def test_a_vote_answered_before_it_is_stored_is_found(self):
        self.assertIsNotNone(Explorer("x y", early=True, wipes=0, losses=0, again=0).run())

    def test_a_disk_that_keeps_its_identity_when_it_is_wiped_is_found(self):
        self.assertIsNotNone(Explorer("x y", reuses=True, losses=0, again=0).run())

    def test_a_replacement_finished_before_it_is_decided_is_found(self):
        self.assertIsNotNone(Explorer("replace finish", hasty=True, wipes=0, losses=0).run())

    def test_a_majority_of_the_old_or_the_new_members_alone_is_found(self):
        for group in "previous", "voters":
            with majority_of(group):
                self.assertIsNotNone(Explorer("y replace finish", wipes=0, losses=0, again=0).run(), group)
