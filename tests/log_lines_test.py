#!/usr/bin/env python3
"""Checks that every log line quoted in docs/on-call.md is written by a log call in the sources.

usage: log_lines_test.py [FOLDER...]

FOLDER... are the source folders to search instead of src/.

A quoted line is a code span in a column titled "log line" of a table on that page. Some log call in src/ has to match
it: info(), warn() or error() with a format string that begins with the component. On the page, UPPER CASE stands for a
value and "..." for any omitted part. In a format string, a placeholder such as {} or {:.2f} matches a value, which has
no blanks unless it is in double quotes; {:?} writes the quotes itself. A placeholder in the event's name stands for any
of the literals among the call's arguments. Adjacent C++ literals are joined first.

Self-checks make sure that invented lines and lines of another form are reported and that the page's tables are read.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "on-call.md"
SOURCES = ROOT / "src"
COLUMN = "log line"
# Fewer quoted lines mean that the page has a new layout that this script can no longer read.
MIN_QUOTED_LINES = 30

LITERAL = r'"(?:[^"\\\n]|\\.)*"'
LOG_CALL = re.compile(rf"\b(?:info|warn|error)\(\s*({LITERAL}(?:\s*{LITERAL})*)((?:{LITERAL}|[^;\"])*);")
PLACEHOLDER = re.compile(r"\{[^{}]*\}")
COMPONENT = re.compile(r"[a-z_]+: ")
ESCAPES = {r"\"": '"', r"\\": "\\", r"\n": "\n", r"\t": "\t"}


def unescape(literal):
    return re.sub(r"\\.", lambda escape: ESCAPES.get(escape.group(), escape.group()), literal)


def literals_in(text):
    return [unescape(literal[1:-1]) for literal in re.findall(LITERAL, text)]


def expand_event_placeholder(format_string, words):
    """The format strings that result if a placeholder in the event's name is replaced by each of the words."""
    end = min(
        [position for position in (format_string.find("="), format_string.find('"')) if position >= 0],
        default=len(format_string)
    )
    event = PLACEHOLDER.search(format_string, 0, end)
    if event is None or not words or not COMPONENT.match(format_string):
        return [format_string]
    return [format_string[: event.start()] + word + format_string[event.end() :] for word in words]


def format_strings_in(text):
    """The format strings of all log calls in C++ source text."""
    format_strings = []
    for call in LOG_CALL.finditer(text):
        format_string = "".join(literals_in(call.group(1))).replace("{:?}", '"{}"')
        format_strings += expand_event_placeholder(format_string, literals_in(call.group(2)))
    return format_strings


def format_strings_in_folder(folder):
    files = sorted(path for path in folder.rglob("*") if path.suffix in (".cpp", ".hpp"))
    return [format_string for path in files for format_string in format_strings_in(path.read_text(encoding="utf-8"))]


def table_cells(row):
    """The cells of a table row; a bar within a code span does not separate cells."""
    bare = re.sub(r"`[^`]*`", lambda span: span.group().replace("|", "\0"), row.strip())
    return [cell.strip().replace("\0", "|") for cell in bare.strip("|").split("|")]


def quoted_lines(text):
    """(line number in the page, log line) for each code span in a column titled "log line"."""
    quoted = []
    column = None
    for number, row in enumerate(text.splitlines(), 1):
        if not row.startswith("|"):
            column = None
            continue
        cells = table_cells(row)
        if COLUMN in cells:
            column = cells.index(COLUMN)
        elif column is not None and column < len(cells):
            quoted += [(number, line) for line in re.findall(r"`([^`]+)`", cells[column])]
    return quoted


def split_at_placeholders(format_string):
    """The literal characters of a format string, with None for each placeholder."""
    pieces = []
    end = 0
    bare = format_string.replace("{{", "\1").replace("}}", "\2")
    for placeholder in PLACEHOLDER.finditer(bare):
        pieces += bare[end : placeholder.start()]
        pieces.append(None)
        end = placeholder.end()
    pieces += bare[end:]
    return ["{" if piece == "\1" else "}" if piece == "\2" else piece for piece in pieces]


def matches(line, format_string):
    """Whether a log call with this format string can write the quoted line."""
    pieces = split_at_placeholders(format_string)
    # The positions in `pieces` that can follow the part of the line read so far.
    parts = line.split("...")
    reached = {0}
    for index, part in enumerate(parts):
        if index > 0:
            reached = set(range(min(reached), len(pieces) + 1)) if reached else reached
        quoted = False
        for character in part:
            quoted ^= character == '"'
            reached = match_character(character, quoted, skip_placeholders(reached, pieces), pieces)
    return len(pieces) in skip_placeholders(reached, pieces)


def skip_placeholders(reached, pieces):
    """Adds the positions reached if placeholders at the given positions write nothing."""
    closed = set(reached)
    for position in sorted(reached):
        while position < len(pieces) and pieces[position] is None:
            position += 1
            closed.add(position)
    return closed


def match_character(character, quoted, reached, pieces):
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


def unmatched_lines(page, format_strings):
    return [
        f"docs/on-call.md:{number}: no log call in src/ writes `{line}`"
        for number, line in quoted_lines(page)
        if not (
            COMPONENT.match(line)
            and any(
                COMPONENT.match(format_string) and matches(line, format_string) for format_string in format_strings
            )
        )
    ]


def expect(condition, description):
    if not condition:
        print(f"FAILED: {description}")
    return condition


def self_check(page, format_strings):
    """The matcher accepts valid lines and rejects others, and an invented line in the page is reported."""
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
    invented = "core: proxy vanished proxy=PROXY"
    first = quoted_lines(page)[0][1] if quoted_lines(page) else ""
    return all([
        expect(joined == "core: proxy joined proxy={} zone={} rpcs_per_second={:.1f}", "adjacent literals are joined"),
        expect(closed == 'net: connection closed peer={} reason="{}"', "escaped quotes are unescaped"),
        expect(len(example) == 6, "strings outside log calls are ignored"),
        expect(withdrawn == "core: server withdrawn server={}", "the event is the first literal"),
        expect(reinstated == "core: server reinstated server={}", "the event may be any literal"),
        expect(matches('core: failed planner=NAME reason="no memory left"', failed), "{:?} writes quotes"),
        expect(not matches("core: failed planner=NAME reason=REASON", failed), "{:?} always writes quotes"),
        expect(len(unmatched_lines(example_row, [bare])) == 1, "a line without a component is reported"),
        expect(matches("core: proxy joined proxy=12 zone=ZONE rpcs_per_second=5", joined), "placeholders match values"),
        expect(matches("core: proxy joined proxy=PROXY ...", joined), "the end may be omitted"),
        expect(matches("core: proxy joined ... rpcs_per_second=RATE", joined), "the middle may be omitted"),
        expect(matches('net: connection closed peer=PEER reason="not in time"', closed), "quoted values have blanks"),
        expect(not matches("core: proxy joined proxy=PROXY", joined), "a line that ends too soon does not match"),
        expect(not matches("core: proxy joined proxy=1 2 zone=Z rpcs_per_second=5", joined), "values have no blanks"),
        expect(not matches("core: proxy joined zone=ZONE proxy=PROXY ...", joined), "the order of the fields matters"),
        expect(not matches("core: proxy left proxy=PROXY ...", joined), "another event does not match"),
        expect(not matches("core: not logged at=NOW", joined), "another line does not match"),
        expect(quoted_lines(header + "| `KEY` | `a | b`, then `c` |\n\n| `d` | `e` |") == [(3, "a | b"), (3, "c")],
               "only the column's code spans are log lines"),
        expect(len(quoted_lines(page)) >= MIN_QUOTED_LINES, f"the page quotes {MIN_QUOTED_LINES} lines or more"),
        expect(len(unmatched_lines(header + f"| a proxy | `{invented}` |", format_strings)) == 1,
               "an invented line is reported"),
        expect(len(unmatched_lines(header + f"| a proxy | `{first} more` |", format_strings)) == 1,
               "a line with an extra word is reported"),
        expect(unmatched_lines(header + f"| a proxy | `{first}` |", format_strings) == [],
               "a line of the page is accepted"),
    ])


def main(arguments):
    page = PAGE.read_text(encoding="utf-8")
    folders = [pathlib.Path(argument) for argument in arguments] or [SOURCES]
    format_strings = [format_string for folder in folders for format_string in format_strings_in_folder(folder)]
    self_check_passed = self_check(page, format_strings)
    errors = unmatched_lines(page, format_strings)
    for error in errors:
        print(error)
    if errors or not self_check_passed:
        return 1
    print(f"{len(quoted_lines(page))} quoted log lines match the format strings of {len(format_strings)} log calls")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
