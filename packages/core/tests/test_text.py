"""Tests of the parsing, validation and comparison of texts."""

import dataclasses
import hashlib
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.text import Priority, diff, parse, validate

EXAMPLES = Path(__file__).parents[3] / "examples"
TEXT = f"""
name = "small"

[data_centres.eupen]
region = "east"

[accelerators.fast]
memory_mib = 1000
layer_us = 10
token_us = 1

[models.bulletin]
layers = 4
depends_on = ["control"]

[services.control]
timeout = 5

[accounts.desk]
keys = ["{"ab" * 32}"]
share = 2
priority = "bulk"
"""


def problems_of(*replacements):
    text = TEXT
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new)
    return [str(problem) for problem in validate(text, "text.toml")]


class TestParse:
    """Parsing of valid and invalid texts."""

    def test_reads_values_and_defaults(self):
        text = parse(TEXT, "text.toml")
        assert text.models["bulletin"].depends_on == ("control",)
        assert text.models["bulletin"].layer_mib == 512
        assert text.accounts["desk"].priority is Priority.BULK
        assert text.accounts["desk"].share == 2.0

    @pytest.mark.parametrize("name", ["vinoteca", "maes"])
    def test_examples_are_valid_and_have_the_digests_of_their_demo_keys(self, name):
        path = EXAMPLES / f"{name}.toml"
        text = parse(path.read_text(encoding="utf-8"), path.name)
        assert text.name == name
        assert len(text.data_centres) == 3 and len(text.accelerators) == 5
        for account, value in text.accounts.items():
            key = f"demo-key-{account}".encode()
            assert value.keys == (hashlib.sha256(key).hexdigest(),)

    def test_exception_lists_all_problems(self):
        bad = TEXT.replace("layers = 4", "layers = 0").replace("share = 2", "share = x")
        with pytest.raises(ConfigurationError, match="expected valid TOML") as raised:
            parse(bad, "text.toml")
        line = bad[: bad.index("share = x")].count("\n") + 1
        assert f"text.toml:{line}: " in str(raised.value)
        bad = bad.replace("share = x", "share = 0")
        with pytest.raises(ConfigurationError) as raised:
            parse(bad, "text.toml")
        assert len(str(raised.value).splitlines()) == 2


class TestValidate:
    """Problems that are reported for an invalid text."""

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ("layers = 4", "layers = 0", "13: models.bulletin.layers: got 0, expected"),
            (
                "layers = 4",
                "layrs = 4",
                "13: models.bulletin.layrs: got an unknown key",
            ),
            ("layers = 4", "layers = true", "got True, expected an integer from 1"),
            ("layers = 4", "layers = 4\nlayer_mib = 2000", "at most 1000 MiB"),
            ("[accelerators.fast]", "[accelerators.Fast]", "accelerators.Fast: got"),
            (
                "[services.control]",
                "[services.controls]",
                "controls (did you mean it?)",
            ),
            (
                "[services.control]",
                "[services.bulletin]",
                "a name other than that of a model",
            ),
            ("timeout = 5", "timeout = nan", "17: services.control.timeout: got nan"),
            ('["control"]', '["bulletin"]', "the cycle bulletin -> bulletin"),
            ('"bulk"', '"bulky"', "expected one of urgent, normal, bulk"),
            ('["abab', '["xbab', "accounts.desk.keys[0]: got a hidden str"),
            (
                "[accounts.desk]",
                "[accounts]\ndesk = 3\n[account.x]",
                "accounts.desk: got 3",
            ),
        ],
    )
    def test_problem_has_key_value_and_expected_values(self, old, new, message):
        assert message in "\n".join(problems_of((old, new)))

    def test_cycle_of_models_and_services_is_reported_once(self):
        found = problems_of(("timeout = 5", 'depends_on = ["bulletin"]'))
        assert found == [
            "text.toml:14: models.bulletin.depends_on: got the cycle "
            "bulletin -> control -> bulletin, expected no cycle of dependencies"
        ]

    def test_model_without_accelerators_is_refused(self):
        start = TEXT.index("[accelerators")
        end = TEXT.index("[models")
        assert "with a kind that holds a layer" in str(
            validate(TEXT[:start] + TEXT[end:], "text.toml")[0]
        )

    def test_two_accounts_must_not_share_a_key(self):
        twin = f'[accounts.twin]\nkeys = ["{"ab" * 32}"]\n[accounts.desk]'
        found = problems_of(("[accounts.desk]", twin))
        assert len(found) == 1 and "a key other than those of twin" in found[0]

    @pytest.mark.parametrize("value", ['"demo-key-desk"', '["demo-key-desk"]'])
    def test_key_in_place_of_its_digest_is_hidden(self, value):
        found = problems_of((f'["{"ab" * 32}"]', value))
        assert len(found) == 1 and "accounts.desk.keys" in found[0]
        assert "demo-key" not in found[0]

    def test_problems_of_several_tables_are_reported_together(self):
        found = problems_of(
            ("layers = 4", "layers = -4"),
            ("timeout = 5", "timeout = 0"),
            ("share = 2", "shares = 2"),
        )
        assert len(found) == 3

    @pytest.mark.parametrize(
        ("line", "key"),
        [
            ('"a b" = 3', '"a b" = 3'),
            ("models.x = 3", "models.x = 3"),
            ('[models]\n"quo.ted" = 3', '"quo.ted"'),
        ],
    )
    def test_quoted_and_dotted_keys_have_line_numbers(self, line, key):
        source = f'\nname = "x"\n{line}\n'
        expected = source[: source.index(key)].count("\n") + 1
        assert {problem.line for problem in validate(source, "t")} == {expected}


KEYS = [
    ("name = ", "name"),
    ("region = ", "data_centres.eupen.region"),
    ("memory_mib = ", "accelerators.fast.memory_mib"),
    ("layer_us = ", "accelerators.fast.layer_us"),
    ("token_us = ", "accelerators.fast.token_us"),
    ("layers = ", "models.bulletin.layers"),
    ("depends_on = ", "models.bulletin.depends_on"),
    ("timeout = ", "services.control.timeout"),
    ("keys = ", "accounts.desk.keys"),
    ("share = ", "accounts.desk.share"),
    ("priority = ", "accounts.desk.priority"),
]
BAD_VALUES = st.one_of(
    st.sampled_from(["-1", "nan", "-inf", "{ a = 1 }", "1979-05-27", "07:32:00"]),
    st.sampled_from(["9" * 400, "1e999", "[[1]]", '["A B"]', "[nan]", "true"]),
    st.integers(max_value=-1).map(str),
    st.text("AZ _/\u00e9", max_size=20).map(lambda text: f"'{text}!'"),
)


class TestGenerated:
    """Generated invalid texts: each gives a problem and never another exception."""

    @settings(derandomize=True, max_examples=250, deadline=None)
    @given(key=st.sampled_from(KEYS), value=BAD_VALUES)
    def test_problem_of_invalid_value_names_its_key(self, key, value):
        start, path = key
        lines = [
            start + value if line.startswith(start) else line
            for line in TEXT.splitlines()
        ]
        found = validate("\n".join(lines), "text.toml")
        assert any(problem.key.startswith(path) for problem in found)
        assert all(problem.expected and problem.value for problem in found)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        start=st.integers(0, len(TEXT)),
        size=st.integers(0, 40),
        inserted=st.text('[]"={}\n.#a0\x00', max_size=6),
    )
    def test_damaged_text_raises_no_other_exception(self, start, size, inserted):
        source = TEXT[:start] + inserted + TEXT[start + size :]
        for problem in validate(source, "text.toml"):
            assert problem.key or "TOML" in problem.expected

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        source=st.text(max_size=100)
        | st.sampled_from(["a=" + "[" * 9999, "a=" + "1" * 9999])
    )
    def test_random_text_is_refused(self, source):
        assert validate(source, "text.toml")


class TestDiff:
    """Differences between two texts."""

    def test_equal_texts_have_no_changes(self):
        assert diff(parse(TEXT, "a"), parse(TEXT, "b")) == ()

    def test_change_has_key_old_and_new_value(self):
        old = parse(TEXT, "text.toml")
        accounts = {"night": old.accounts["desk"]}
        models = {"bulletin": dataclasses.replace(old.models["bulletin"], layers=8)}
        new = dataclasses.replace(old, accounts=accounts, models=models)
        assert [str(change) for change in diff(old, new)] == [
            "models.bulletin.layers: 4 -> 8",
            "accounts.desk: removed",
            "accounts.night: added",
        ]

    def test_digests_of_keys_are_only_counted(self):
        old = parse(TEXT, "text.toml")
        new = parse(TEXT.replace("ab" * 32, "cd" * 32), "text.toml")
        (change,) = diff(old, new)
        assert str(change) == (
            "accounts.desk.keys: 1 keys -> 1 keys (1 added, 1 removed)"
        )
