from __future__ import annotations

from laburnumbridge.flows import ExpiringMap


class TestExpiringMap:
    def test_an_entry_expires(self):
        # Guards against packets that are forwarded by an outdated record.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=10)
        entries.put("a", 1, 0.0)
        assert entries.get("a", 0.9) == 1
        assert entries.get("a", 1.0) is None
        assert entries.expire(1.0) == 1

    def test_a_touch_restarts_the_lifetime(self):
        # Guards against a search for a flow whose record expired while it was in use.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=10)
        entries.put("a", 1, 0.0)
        assert entries.touch("a", 0.9) == 1
        assert entries.get("a", 1.5) == 1

    def test_a_full_map_evicts_the_least_recently_used_entry(self):
        # Guards against unbounded memory, and against evicting entries that are in use.
        entries: ExpiringMap[str, int] = ExpiringMap(ttl_s=1.0, limit=2)
        entries.put("a", 1, 0.0)
        entries.put("b", 2, 0.1)
        entries.touch("a", 0.2)
        entries.put("c", 3, 0.3)
        assert entries.get("b", 0.3) is None
        assert entries.get("a", 0.3) == 1
