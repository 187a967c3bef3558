from __future__ import annotations

from laburnumbridge.flows import ExpiringMap


class TestExpiringMap:
    def test_an_entry_expires(self):
        # Guards against packets that follow a record of long ago.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=10)
        entries.put("a", 1, 0.0)
        assert entries.get("a", 0.9) == 1
        assert entries.get("a", 1.0) is None
        assert entries.expire(1.0) == 1

    def test_a_touch_keeps_an_entry(self):
        # Guards against a search for a flow that is in use.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=10)
        entries.put("a", 1, 0.0)
        assert entries.touch("a", 0.9) == 1
        assert entries.get("a", 1.5) == 1

    def test_the_oldest_entry_goes_first_when_it_is_full(self):
        # Guards against memory without a bound, and against losing what was used last.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=2)
        entries.put("a", 1, 0.0)
        entries.put("b", 2, 0.1)
        entries.touch("a", 0.2)
        entries.put("c", 3, 0.3)
        assert entries.get("b", 0.3) is None
        assert entries.get("a", 0.3) == 1
