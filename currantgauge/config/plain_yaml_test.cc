#include "currantgauge/config/plain_yaml.h"

#include "currantgauge/base/random.h"
#include "currantgauge/config/merge.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace currantgauge::config {
namespace {

const std::string PlainDocument =
    "# services and their limits\n"
    "fleet:\n"
    "  link_bytes_per_second: 2MiB\n"
    "  unlisted_workspaces: \"refuse\"\n"
    "ranks:\n"
    "  normal: {deadline: 2s, order: 0, share: \"50%\"}\n"
    "services:\n"
    "  cutlist: {floor: 60%, hold_off: 5s}\n"
    "  stocktally: {}\n"
    "\n"
    "routes:\n"
    "  lists: {kind: read, prefix: \"/a b,c: d\"}\n"
    "workspaces:\n"
    "  b@x/1: {limit: 20/s}\n"
    "  a.1: {burst: 0.5, limit: none}\n";

// The pieces that decide how YAML reads a line.
const std::vector<std::string> Pieces = {
    " ",    "  ",    "\n",   ": ",    ":",  ", ",  ",",   "{",    "}",
    "{}",   "\"",    "null", "~",     "#",  " # ", "-",   "- ",   "@",
    "%",    "&",     "*",    "!",     "|",  ">",   "'",   "\\",   "\t",
    "\r",   "[",     "]",    "---\n", "",   "?",   "? ",  "true", "services:\n",
    "\xc3", "fleet", "a: b", "...",   "\0", "<<",  "=: ", "`",    "floor"};

std::string describe(const Place &Where) {
  return std::to_string(Where.Line) + ":" + std::to_string(Where.Column);
}

// describe() returns everything that a document holds, with its places.
std::string describe(const Document &Whole) {
  std::string Text;
  for (const auto &[Section, Entries] : Whole.Sections)
    for (const auto &[Name, Entry] : Entries) {
      Text += Section + "." + Name + " " + describe(Entry.Where) + "\n";
      for (const auto &[Key, Value] : Entry.Fields)
        Text +=
            "  " + Key + "=" + Value.Text + " " + describe(Value.Where) + "\n";
    }
  return Text;
}

// checkSame() fails when the plain reader takes a text that means something
// else to the YAML library. Returns whether it took it.
bool checkSame(const std::string &Text) {
  std::vector<PlainLine> Lines;
  if (!readPlainYaml(Text, Lines))
    return false;
  Document Plain;
  Document Yaml;
  SettingsErrors Errors;
  mergeInto(Plain, "file", Text, Errors);
  mergeYaml(Yaml, "file", Text, Errors);
  INFO(Text);
  CHECK(Errors.empty());
  CHECK(describe(Plain) == describe(Yaml));
  return true;
}

std::string mutate(std::string Text, base::Random &Source) {
  std::size_t Changes = 1 + base::uniformBelow(Source, 3);
  for (std::size_t Change = 0; Change < Changes; ++Change) {
    std::size_t At = base::uniformBelow(Source, Text.size() + 1);
    std::size_t Gone = base::uniformBelow(Source, 4);
    Text.replace(At, Gone, Pieces[base::uniformBelow(Source, Pieces.size())]);
  }
  return Text;
}

} // namespace

TEST_CASE("plain YAML means the same to both readers") {
  CHECK(checkSame(PlainDocument));
  CHECK(checkSame(""));
  CHECK(checkSame("workspaces:\n  a: {limit: 1/s}"));
}

TEST_CASE(
    "property: whatever the plain reader takes, the library reads alike") {
  base::Random Source(31);
  std::size_t Taken = 0;
  for (int Round = 0; Round < 20000; ++Round)
    Taken += checkSame(mutate(PlainDocument, Source)) ? 1 : 0;
  CHECK(Taken > 1000);
}

TEST_CASE("what is not plain is left to the library") {
  for (const char *Text :
       {"services:\n", "services: {}\n", "services:\n  a: null\n",
        "services:\n  a: {}\n  a: {}\n", "services:\n  a: {x: 1, x: 2}\n",
        "services:\n  a: {}\nservices:\n  b: {}\n", "other:\n  a: {}\n",
        "services:\n  a: {x: ~}\n", "services:\n  a: {x: \"\\n\"}\n",
        "  a: {}\n", "services:\n  a: {} # why\n", "services:\r\n  a: {}\r\n",
        "services:\n   a: {}\n", "services:\n  a:\n    x: 1\n",
        "services:\n  a: &b {}\n", "services:\n  a: {x: [1]}\n"}) {
    std::vector<PlainLine> Lines;
    CAPTURE(Text);
    CHECK_FALSE(readPlainYaml(Text, Lines));
  }
}

} // namespace currantgauge::config
