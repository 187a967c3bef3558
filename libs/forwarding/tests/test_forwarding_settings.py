from __future__ import annotations

import json

import pytest

from laburnumbridge.forwarding import run_process
from laburnumbridge.forwarding.errors import InvalidSettingsError
from laburnumbridge.forwarding.errors import UnknownRoleError
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

SETTINGS = {
    "process": "entry-1",
    "failure_domain": "north",
    "address": "10.0.0.1",
    "packet_endpoint": "10.0.0.1:8172",
    "peer_port": 7720,
    "ready_endpoint": "10.0.0.1:8167",
    "metrics_port": 9464,
    "platform_endpoint": "10.0.0.2:8169",
    "seeds": ["10.0.0.1:8166"],
    "flow_max_age_s": 60,
    "stop_grace_s": 6.0,
}


@pytest.fixture
def write_settings(tmp_path):
    def write_settings(text):
        path = tmp_path / "settings.json"
        path.write_text(text if isinstance(text, str) else json.dumps(text))
        return path

    return write_settings


class TestLoading:
    def test_complete_settings(self, write_settings):
        # Guards against values that are read into the wrong fields.
        settings = load_forwarding_settings(write_settings(SETTINGS))
        assert settings.packet_port == 8172
        assert settings.platform == ("10.0.0.2", 8169)
        assert settings.upstream is None

    @pytest.mark.parametrize(
        ("change", "expected_text"),
        [
            ({"peer_port": "x"}, "peer_port"),
            ({"peer_port": 70_000}, "peer_port"),
            ({"seeds": ["nowhere"]}, "nowhere"),
            ({"packet_endpoint": ":80"}, ":80"),
            ({"stop_grace_s": 0}, "stop_grace_s"),
            ({"colour": "red"}, "colour"),
            ({"upstream": {"service": "desk"}}, "upstream"),
        ],
    )
    def test_an_error_names_the_invalid_setting(self, write_settings, change, expected_text):
        # Guards against a process that starts with an invalid setting, and against messages that
        # don't name the setting.
        path = write_settings({**SETTINGS, **change})
        with pytest.raises(InvalidSettingsError) as raised:
            load_forwarding_settings(path)
        assert expected_text in str(raised.value)

    @pytest.mark.parametrize("text", ["", "{", "[]"])
    def test_a_file_that_isnt_json(self, write_settings, text):
        # Guards against a traceback in place of an error.
        with pytest.raises(InvalidSettingsError):
            load_forwarding_settings(write_settings(text))

    def test_a_missing_file(self, tmp_path):
        # Guards against a traceback in place of an error.
        with pytest.raises(InvalidSettingsError):
            load_forwarding_settings(tmp_path / "none.json")


class TestRole:
    def run(self, role, path):
        run_process(
            role=role,
            settings_path=path,
            packet_codec=StandInPacketCodec(),
            platform_codec=StandInPlatformCodec(),
        )

    def test_the_error_of_an_unknown_role_lists_the_roles(self, write_settings):
        # Guards against a process that starts in another role than the intended one.
        with pytest.raises(UnknownRoleError, match="balancer, agent"):
            self.run("router", write_settings(SETTINGS))

    def test_an_agent_needs_its_upstream(self, write_settings):
        # Guards against an agent that starts without an upstream to serve.
        with pytest.raises(InvalidSettingsError, match="upstream"):
            self.run("agent", write_settings(SETTINGS))
