#include "currantgauge/cli/table.h"

#include "currantgauge/http/operator_codec.h"

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <vector>

namespace currantgauge::cli {
namespace {

constexpr const char *Bold = "\x1b[1m";
constexpr const char *Red = "\x1b[31m";
constexpr const char *Plain = "\x1b[0m";

std::string painted(const std::string &Text, const char *Style, bool Colour) {
  return Colour ? Style + Text + Plain : Text;
}

// Names come from other VMs: control bytes must not reach a terminal.
std::string printable(std::string Text) {
  for (char &Symbol : Text)
    if (static_cast<unsigned char>(Symbol) < 0x20 || Symbol == 0x7f)
      Symbol = '?';
  return Text;
}

std::string padded(std::string Text, std::size_t Width) {
  Text.resize(std::max(Text.size(), Width), ' ');
  return Text;
}

std::string formatRow(const std::vector<std::string> &Row,
                      const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Index = 0; Index < Row.size(); ++Index)
    Line += padded(printable(Row[Index]),
                   Index < Widths.size() ? Widths[Index] : 0) +
            "  ";
  return Line.substr(0, Line.find_last_not_of(' ') + 1);
}

std::vector<std::size_t> widthsOf(const core::OperatorTable &Table) {
  std::vector<std::size_t> Widths;
  for (const std::string &Column : Table.Columns)
    Widths.push_back(Column.size());
  for (const auto &Row : Table.Rows)
    for (std::size_t Index = 0; Index < Row.size() && Index < Widths.size();
         ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  return Widths;
}

} // namespace

std::string formatTable(const core::OperatorTable &Table, bool Colour) {
  std::string Text =
      Table.Title + " (" + std::to_string(Table.Rows.size()) + ")\n";
  std::vector<std::size_t> Widths = widthsOf(Table);
  Text += "  " + painted(formatRow(Table.Columns, Widths), Bold, Colour) + "\n";
  for (const auto &Row : Table.Rows)
    Text += "  " + formatRow(Row, Widths) + "\n";
  return Text;
}

std::string formatReply(const core::OperatorReply &Reply, OutputFormat Format,
                        bool Colour) {
  if (Format == OutputFormat::Json)
    return http::encodeReply(Reply) + "\n";
  std::size_t Width = 0;
  for (const auto &[Key, Value] : Reply.Fields)
    Width = std::max(Width, Key.size());
  std::string Text;
  for (const auto &[Key, Value] : Reply.Fields)
    Text += painted(padded(Key, Width), Bold, Colour) + "  " +
            printable(Value) + "\n";
  for (const core::OperatorTable &Table : Reply.Tables)
    Text += (Text.empty() ? "" : "\n") + formatTable(Table, Colour);
  if (!Reply.Text.empty())
    Text += (Text.empty() ? "" : "\n") + Reply.Text;
  return Text;
}

int printReply(const core::OperatorReply &Reply, const Options &Given) {
  if (Reply.Error.empty() || Given.Output == OutputFormat::Json)
    std::cout << formatReply(Reply, Given.Output, Given.Colour);
  if (Reply.Error.empty())
    return ExitDone;
  if (Given.Output == OutputFormat::Table) {
    core::OperatorReply Rest = Reply;
    Rest.Error.clear();
    std::cerr << painted("error: ", Red, Given.Colour) << Reply.Error << "\n"
              << formatReply(Rest, OutputFormat::Table, Given.Colour);
  }
  return ExitFailed;
}

} // namespace currantgauge::cli
