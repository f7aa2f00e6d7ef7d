#!/usr/bin/env python3
"""Holds each log line that docs/on-call.md quotes against the format strings of the sources.

usage: log_lines_test.py [FOLDER...]

FOLDER... are the sources to look in, in place of src/.

A quoted line is a code span in a column titled "log line" of a table of the page. It has to be written by a call of
the log somewhere in src/: info(), warn() or error() with a format string that begins with the component. In the page
UPPER CASE stands for a value and "..." for any part that is left out. In a format string a placeholder such as {} or
{:.2f} matches a value, which has no blanks unless it is in double quotes; {:?} writes the quotes itself. A placeholder
in the event's name stands for the literals among the call's arguments. Adjacent C++ literals are joined first.

Self-checks show that made-up lines and lines of another form are found, and that the page's tables are read at all.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "on-call.md"
SOURCES = ROOT / "src"
COLUMN = "log line"
# Fewer quoted lines than this mean that the page's form was changed and is not read any more.
LEAST_QUOTED_LINES = 30

LITERAL = r'"(?:[^"\\\n]|\\.)*"'
LOG_CALL = re.compile(rf"\b(?:info|warn|error)\(\s*({LITERAL}(?:\s*{LITERAL})*)((?:{LITERAL}|[^;\"])*);")
PLACEHOLDER = re.compile(r"\{[^{}]*\}")
COMPONENT = re.compile(r"[a-z_]+: ")
ESCAPES = {r"\"": '"', r"\\": "\\", r"\n": "\n", r"\t": "\t"}


def unescape(literal):
    return re.sub(r"\\.", lambda escape: ESCAPES.get(escape.group(), escape.group()), literal)


def literals_in(text):
    return [unescape(literal[1:-1]) for literal in re.findall(LITERAL, text)]


def with_event_named(form, words):
    """The forms that a format string stands for, where the event's name is chosen among `words` by the arguments."""
    end = min([place for place in (form.find("="), form.find('"')) if place >= 0], default=len(form))
    event = PLACEHOLDER.search(form, 0, end)
    if event is None or not words or not COMPONENT.match(form):
        return [form]
    return [form[: event.start()] + word + form[event.end() :] for word in words]


def format_strings_in(text):
    """The format strings of all log calls in C++ source text."""
    forms = []
    for call in LOG_CALL.finditer(text):
        form = "".join(literals_in(call.group(1))).replace("{:?}", '"{}"')
        forms += with_event_named(form, literals_in(call.group(2)))
    return forms


def format_strings_of(folder):
    files = sorted(path for path in folder.rglob("*") if path.suffix in (".cpp", ".hpp"))
    return [form for path in files for form in format_strings_in(path.read_text(encoding="utf-8"))]


def cells_of(row):
    """The cells of a table's row; a bar within a code span separates nothing."""
    bare = re.sub(r"`[^`]*`", lambda span: span.group().replace("|", "\0"), row.strip())
    return [cell.strip().replace("\0", "|") for cell in bare.strip("|").split("|")]


def quoted_lines(text):
    """(number of the page's line, log line) for each code span in a column titled "log line"."""
    quoted = []
    column = None
    for number, row in enumerate(text.splitlines(), 1):
        if not row.startswith("|"):
            column = None
            continue
        cells = cells_of(row)
        if COLUMN in cells:
            column = cells.index(COLUMN)
        elif column is not None and column < len(cells):
            quoted += [(number, line) for line in re.findall(r"`([^`]+)`", cells[column])]
    return quoted


def pieces_of(form):
    """A format string as literal characters, and None for each placeholder."""
    pieces = []
    end = 0
    bare = form.replace("{{", "\1").replace("}}", "\2")
    for placeholder in PLACEHOLDER.finditer(bare):
        pieces += bare[end : placeholder.start()]
        pieces.append(None)
        end = placeholder.end()
    pieces += bare[end:]
    return ["{" if piece == "\1" else "}" if piece == "\2" else piece for piece in pieces]


def matches(line, form):
    """Whether a log call with this format string may write the quoted line."""
    pieces = pieces_of(form)
    # Positions in `pieces` that the part of the line read so far may have led to.
    parts = line.split("...")
    reached = {0}
    for index, part in enumerate(parts):
        if index > 0:
            reached = set(range(min(reached), len(pieces) + 1)) if reached else reached
        quoted = False
        for character in part:
            quoted ^= character == '"'
            reached = after_character(character, quoted, with_empty_values(reached, pieces), pieces)
    return len(pieces) in with_empty_values(reached, pieces)


def with_empty_values(reached, pieces):
    """Placeholders may write nothing."""
    closed = set(reached)
    for position in sorted(reached):
        while position < len(pieces) and pieces[position] is None:
            position += 1
            closed.add(position)
    return closed


def after_character(character, quoted, reached, pieces):
    following = set()
    for position in reached:
        if position == len(pieces):
            continue
        if pieces[position] is None:
            if quoted or not character.isspace():
                following.add(position)
        elif pieces[position] == character:
            following.add(position + 1)
    return following


def faults_of(page, forms):
    return [
        f"docs/on-call.md:{number}: no log call in src/ writes `{line}`"
        for number, line in quoted_lines(page)
        if not (COMPONENT.match(line) and any(COMPONENT.match(form) and matches(line, form) for form in forms))
    ]


def expect(holds, what):
    if not holds:
        print(f"FAILED: {what}")
    return holds


def self_check(page, forms):
    """The matcher tells true lines from false ones, and a made-up line in the page is found."""
    source = """
        log_.info("core: proxy joined proxy={} "
                  "zone={} rpcs_per_second={:.1f}", proxy, zone, rate);
        log.warn(
            "net: connection closed peer={} reason=\\"{}\\"", peer, why);
        log.info("core: server {} server={}", withdrawn ? "withdrawn" : "reinstated", server);
        log.warn("{}: {}", file, notice);
        log.error("core: failed planner={} reason={:?}", name, error.what());
        text = fmt::format("core: not logged at={}", now);
    """
    example = format_strings_in(source)
    joined, closed, withdrawn, reinstated, bare, failed = example
    example_row = "| what is seen | log line |\n| --- | --- |\n| a file | `operator.txtpb: notice` |"
    header = "| what is seen | log line |\n| --- | --- |\n"
    made_up = "core: proxy vanished proxy=PROXY"
    first = quoted_lines(page)[0][1] if quoted_lines(page) else ""
    return all([
        expect(joined == "core: proxy joined proxy={} zone={} rpcs_per_second={:.1f}", "adjacent literals are joined"),
        expect(closed == 'net: connection closed peer={} reason="{}"', "quotes are unescaped"),
        expect(len(example) == 6, "strings that no log call writes are not taken"),
        expect(withdrawn == "core: server withdrawn server={}", "an event's name is one of the literals"),
        expect(reinstated == "core: server reinstated server={}", "an event's name may be each of the literals"),
        expect(matches('core: failed planner=NAME reason="no memory left"', failed), "{:?} writes quotes"),
        expect(not matches("core: failed planner=NAME reason=REASON", failed), "{:?} writes nothing without quotes"),
        expect(len(faults_of(example_row, [bare])) == 1, "a line without a component has no source"),
        expect(matches("core: proxy joined proxy=12 zone=ZONE rpcs_per_second=5", joined), "values match"),
        expect(matches("core: proxy joined proxy=PROXY ...", joined), "the end may be left out"),
        expect(matches("core: proxy joined ... rpcs_per_second=RATE", joined), "the middle may be left out"),
        expect(matches('net: connection closed peer=PEER reason="not in time"', closed), "quoted values have blanks"),
        expect(not matches("core: proxy joined proxy=PROXY", joined), "a line that ends too soon does not match"),
        expect(not matches("core: proxy joined proxy=1 2 zone=Z rpcs_per_second=5", joined), "values have no blanks"),
        expect(not matches("core: proxy joined zone=ZONE proxy=PROXY ...", joined), "fields have an order"),
        expect(not matches("core: proxy left proxy=PROXY ...", joined), "another event does not match"),
        expect(not matches("core: not logged at=NOW", joined), "another line does not match"),
        expect(quoted_lines(header + "| `KEY` | `a | b`, then `c` |\n\n| `d` | `e` |") == [(3, "a | b"), (3, "c")],
               "only the column's code spans are log lines"),
        expect(len(quoted_lines(page)) >= LEAST_QUOTED_LINES, f"the page quotes {LEAST_QUOTED_LINES} lines or more"),
        expect(len(faults_of(header + f"| a proxy | `{made_up}` |", forms)) == 1, "a made-up line is found"),
        expect(len(faults_of(header + f"| a proxy | `{first} more` |", forms)) == 1, "a word too many is found"),
        expect(faults_of(header + f"| a proxy | `{first}` |", forms) == [], "a line of the page is known"),
    ])


def main(words):
    page = PAGE.read_text(encoding="utf-8")
    folders = [pathlib.Path(word) for word in words] or [SOURCES]
    forms = [form for folder in folders for form in format_strings_of(folder)]
    sound = self_check(page, forms)
    faults = faults_of(page, forms)
    for fault in faults:
        print(fault)
    if faults or not sound:
        return 1
    print(f"{len(quoted_lines(page))} quoted log lines, each with a source among {len(forms)} format strings")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
