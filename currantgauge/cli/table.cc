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
constexpr const char *ResetStyle = "\x1b[0m";

std::string applyStyle(const std::string &Text, const char *Style,
                       bool UseColor) {
  return UseColor ? Style + Text + ResetStyle : Text;
}

// Names come from other VMs; their control bytes must not reach the terminal.
std::string replaceControlBytes(std::string Text) {
  for (char &Byte : Text)
    if (static_cast<unsigned char>(Byte) < 0x20 || Byte == 0x7f)
      Byte = '?';
  return Text;
}

std::string padRight(std::string Text, std::size_t Width) {
  Text.resize(std::max(Text.size(), Width), ' ');
  return Text;
}

std::string formatRow(const std::vector<std::string> &Row,
                      const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Index = 0; Index < Row.size(); ++Index)
    Line += padRight(replaceControlBytes(Row[Index]),
                     Index < Widths.size() ? Widths[Index] : 0) +
            "  ";
  return Line.substr(0, Line.find_last_not_of(' ') + 1);
}

std::vector<std::size_t> computeWidths(const core::OperatorTable &Table) {
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

std::string formatTable(const core::OperatorTable &Table, bool UseColor) {
  std::string Text =
      Table.Title + " (" + std::to_string(Table.Rows.size()) + ")\n";
  std::vector<std::size_t> Widths = computeWidths(Table);
  Text += "  " + applyStyle(formatRow(Table.Columns, Widths), Bold, UseColor) +
          "\n";
  for (const auto &Row : Table.Rows)
    Text += "  " + formatRow(Row, Widths) + "\n";
  return Text;
}

std::string formatReply(const core::OperatorReply &Reply, OutputFormat Format,
                        bool UseColor) {
  if (Format == OutputFormat::Json)
    return http::encodeReply(Reply) + "\n";
  std::size_t Width = 0;
  for (const auto &[Key, Value] : Reply.Fields)
    Width = std::max(Width, Key.size());
  std::string Text;
  for (const auto &[Key, Value] : Reply.Fields)
    Text += applyStyle(padRight(Key, Width), Bold, UseColor) + "  " +
            replaceControlBytes(Value) + "\n";
  for (const core::OperatorTable &Table : Reply.Tables)
    Text += (Text.empty() ? "" : "\n") + formatTable(Table, UseColor);
  if (!Reply.Text.empty())
    Text += (Text.empty() ? "" : "\n") + Reply.Text;
  return Text;
}

int printReply(const core::OperatorReply &Reply, const Options &Opts) {
  if (Reply.Error.empty() || Opts.Output == OutputFormat::Json)
    std::cout << formatReply(Reply, Opts.Output, Opts.UseColor);
  if (Reply.Error.empty())
    return ExitSuccess;
  if (Opts.Output == OutputFormat::Table) {
    core::OperatorReply Details = Reply;
    Details.Error.clear();
    std::cerr << applyStyle("error: ", Red, Opts.UseColor) << Reply.Error
              << "\n"
              << formatReply(Details, OutputFormat::Table, Opts.UseColor);
  }
  return ExitFailure;
}

} // namespace currantgauge::cli
