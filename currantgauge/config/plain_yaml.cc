#include "currantgauge/config/plain_yaml.h"

#include "currantgauge/config/merge.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

// The YAML library takes most of the time of a large document's first parse.
// The form that formatDocument() writes and that generated folders have is read
// here; every text that this reader takes means the same to the library.
namespace currantgauge::config {
namespace {

constexpr std::size_t MaxNameLength = 128;

enum SymbolKind : unsigned char { Other = 0, NameSymbol = 1, ValueSymbol = 2 };

constexpr std::array<unsigned char, 256> makeSymbols() {
  std::array<unsigned char, 256> Kinds{};
  for (char Symbol : std::string_view("abcdefghijklmnopqrstuvwxyz"
                                      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789._-/@"))
    Kinds[static_cast<unsigned char>(Symbol)] = NameSymbol | ValueSymbol;
  Kinds['%'] = ValueSymbol;
  return Kinds;
}

constexpr std::array<unsigned char, 256> Symbols = makeSymbols();

bool isNull(std::string_view Word) {
  return Word == "null" || Word == "Null" || Word == "NULL";
}

// takeWord() takes a plain scalar; empty when there is none.
std::string_view takeWord(std::string_view &Rest, SymbolKind Kind) {
  std::size_t Size = 0;
  while (Size < Rest.size() &&
         (Symbols[static_cast<unsigned char>(Rest[Size])] & Kind) != 0)
    ++Size;
  std::string_view Word = Rest.substr(0, Size);
  if (Size == 0 || Size > MaxNameLength || Word.front() == '-' ||
      Word.front() == '@' || Word.front() == '%' || isNull(Word))
    return {};
  Rest.remove_prefix(Size);
  return Word;
}

bool takeMark(std::string_view &Rest, std::string_view Mark) {
  if (!Rest.starts_with(Mark))
    return false;
  Rest.remove_prefix(Mark.size());
  return true;
}

// takeValue() takes a plain scalar, or one in double quotes without escapes.
bool takeValue(std::string_view &Rest, std::string_view &Value) {
  if (!takeMark(Rest, "\"")) {
    Value = takeWord(Rest, ValueSymbol);
    return !Value.empty();
  }
  std::size_t End = Rest.find('"');
  if (End == std::string_view::npos)
    return false;
  Value = Rest.substr(0, End);
  Rest.remove_prefix(End + 1);
  return std::all_of(Value.begin(), Value.end(), [](char Symbol) {
    return Symbol >= ' ' && Symbol <= '~' && Symbol != '\\';
  });
}

bool takeField(std::string_view Line, std::string_view &Rest,
               PlainField &Field) {
  Field.Column = static_cast<int>(Line.size() - Rest.size()) + 1;
  Field.Key = takeWord(Rest, NameSymbol);
  return !Field.Key.empty() && takeMark(Rest, ": ") &&
         takeValue(Rest, Field.Value);
}

bool hasKey(const PlainLine &Entry, std::string_view Key) {
  return std::any_of(Entry.Fields.begin(), Entry.Fields.end(),
                     [&](const PlainField &F) { return F.Key == Key; });
}

bool takeFields(std::string_view Line, std::string_view &Rest,
                PlainLine &Entry) {
  if (takeMark(Rest, "}"))
    return true;
  do {
    PlainField Field;
    if (!takeField(Line, Rest, Field) || hasKey(Entry, Field.Key))
      return false;
    Entry.Fields.push_back(Field);
  } while (takeMark(Rest, ", "));
  return takeMark(Rest, "}");
}

bool readEntry(std::string_view Line, PlainLine &Entry) {
  std::string_view Rest = Line;
  if (!takeMark(Rest, "  "))
    return false;
  if (Entry.Section == FleetSection) {
    PlainField Field;
    Entry.Column = 3;
    bool IsField = takeField(Line, Rest, Field) && Rest.empty();
    Entry.Fields.push_back(Field);
    return IsField;
  }
  Entry.Name = takeWord(Rest, NameSymbol);
  if (Entry.Name.empty() || !takeMark(Rest, ": "))
    return false;
  Entry.Column = static_cast<int>(Line.size() - Rest.size()) + 1;
  return takeMark(Rest, "{") && takeFields(Line, Rest, Entry) && Rest.empty();
}

// keyOf() is what may stand only once in a section.
std::string_view keyOf(const PlainLine &Line) {
  return Line.Section == FleetSection ? Line.Fields.front().Key : Line.Name;
}

// Generated files are sorted, which makes the check cheap.
bool hasDuplicates(std::vector<PlainLine>::const_iterator Begin,
                   std::vector<PlainLine>::const_iterator End) {
  std::vector<std::string_view> Keys;
  Keys.reserve(static_cast<std::size_t>(End - Begin));
  for (auto Line = Begin; Line != End; ++Line)
    Keys.push_back(keyOf(*Line));
  if (!std::is_sorted(Keys.begin(), Keys.end()))
    std::sort(Keys.begin(), Keys.end());
  return std::adjacent_find(Keys.begin(), Keys.end()) != Keys.end();
}

// SectionReader collects the lines of one section after another.
struct SectionReader {
  std::vector<PlainLine> &Lines;
  std::vector<std::string_view> Seen;
  std::size_t First = 0; // line of the present section

  // A section without entries is a null, which is a mistake.
  bool close() const {
    auto Begin = this->Lines.cbegin() + static_cast<std::ptrdiff_t>(First);
    return this->Seen.empty() || (Begin != this->Lines.cend() &&
                                  !hasDuplicates(Begin, this->Lines.cend()));
  }
  bool open(std::string_view Name) {
    if (!this->close() ||
        std::find(SectionNames.begin(), SectionNames.end(), Name) ==
            SectionNames.end() ||
        std::find(this->Seen.begin(), this->Seen.end(), Name) !=
            this->Seen.end())
      return false;
    this->Seen.push_back(Name);
    this->First = this->Lines.size();
    return true;
  }
};

bool readLine(SectionReader &Reader, std::string_view Line, int Number) {
  if (Line.empty() || Line.front() == '#')
    return std::all_of(Line.begin(), Line.end(), [](char Symbol) {
      return Symbol >= ' ' && Symbol <= '~';
    });
  if (Line.front() != ' ')
    return Line.ends_with(':') && Reader.open(Line.substr(0, Line.size() - 1));
  if (Reader.Seen.empty())
    return false;
  PlainLine Entry;
  Entry.Section = Reader.Seen.back();
  Entry.Line = Number;
  if (!readEntry(Line, Entry))
    return false;
  Reader.Lines.push_back(std::move(Entry));
  return true;
}

} // namespace

bool readPlainYaml(std::string_view Text, std::vector<PlainLine> &Lines) {
  SectionReader Reader{Lines, {}, 0};
  int Number = 0;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    if (!readLine(Reader, Line, ++Number))
      return false;
  }
  return Reader.close();
}

} // namespace currantgauge::config
