// Open-loop load on real nodes: arrivals at a set rate, latency counted from
// the intended start, so that a slow fleet does not slow the load down.
//
//   load_bench --targets=127.0.0.1:8080 --rate=540 --seconds=10
//              --mix=GET:/lists/7:80,POST:/commits/9:20 --table
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(targets, "127.0.0.1:8080", "IP:port of nodes, by comma");
DEFINE_double(rate, 540, "requests a second, over all targets");
DEFINE_double(seconds, 10, "how long to send, in seconds");
DEFINE_string(mix, "GET:/lists/7:100", "METHOD:PATH:WEIGHT, by comma");
DEFINE_bool(unique_keys, false, "give each POST an Idempotency-Key of its own");
DEFINE_string(workspace, "", "workspace of the requests");
DEFINE_int32(timeout_ms, 5000, "deadline of a request, in milliseconds");
DEFINE_int32(body_bytes, 0, "body of a POST, in bytes");
DEFINE_bool(table, false, "print a table for people");
DEFINE_bool(json, false, "print the results as JSON");
DEFINE_string(svg, "", "file for a plot of the latency percentiles");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

struct WorkKind {
  std::string Method;
  std::string Path;
  double Weight = 1;
};

// Result is what callers saw of one kind of work.
struct Result {
  std::vector<double> Millis; // of good answers, from the intended start
  std::map<std::string, std::uint64_t> Seen; // by verdict and reason
};

struct Connection {
  beast::tcp_stream Stream;
  beast::flat_buffer Input;

  explicit Connection(asio::io_context &Io) : Stream(Io) {}
};

struct Load {
  asio::io_context Io{1};
  std::vector<tcp::endpoint> Targets;
  std::vector<std::vector<std::unique_ptr<Connection>>> Idle;
  std::vector<WorkKind> Mix;
  std::map<std::string, Result> Results;
  std::mt19937_64 Source{1};
  std::uint64_t Sent = 0;
  std::uint64_t Open = 0;
};

auto into(ErrorCode &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, Mark);)
    Parts.push_back(Part);
  return Parts;
}

void readFlags(Load &All) {
  for (const std::string &Target : split(FLAGS_targets, ',')) {
    std::size_t Colon = Target.rfind(':');
    All.Targets.emplace_back(
        asio::ip::make_address(Target.substr(0, Colon)),
        static_cast<std::uint16_t>(std::stoi(Target.substr(Colon + 1))));
  }
  All.Idle.resize(All.Targets.size());
  for (const std::string &Kind : split(FLAGS_mix, ',')) {
    auto Parts = split(Kind, ':');
    if (Parts.size() == 3)
      All.Mix.push_back({Parts[0], Parts[1], std::stod(Parts[2])});
  }
}

const WorkKind &pick(Load &All) {
  double Total = 0;
  for (const WorkKind &Kind : All.Mix)
    Total += Kind.Weight;
  double At = std::uniform_real_distribution<>(0, Total)(All.Source);
  for (const WorkKind &Kind : All.Mix) {
    if (At < Kind.Weight)
      return Kind;
    At -= Kind.Weight;
  }
  return All.Mix.back();
}

beast::http::request<beast::http::string_body>
buildRequest(const WorkKind &Kind, std::uint64_t Number) {
  beast::http::request<beast::http::string_body> Request;
  Request.version(11);
  Request.method_string(Kind.Method);
  Request.target(Kind.Path);
  Request.set(beast::http::field::host, "fleet");
  Request.set("Currantgauge-Timeout-Ms", std::to_string(FLAGS_timeout_ms));
  if (!FLAGS_workspace.empty())
    Request.set("Currantgauge-Workspace", FLAGS_workspace);
  if (Kind.Method == "POST") {
    if (FLAGS_unique_keys)
      Request.set("Idempotency-Key", "load-" + std::to_string(Number));
    Request.body() =
        std::string(static_cast<std::size_t>(FLAGS_body_bytes), 'b');
  }
  Request.prepare_payload();
  return Request;
}

asio::awaitable<std::string> exchange(Load &All, std::size_t Target,
                                      const WorkKind &Kind,
                                      std::uint64_t Number) {
  std::unique_ptr<Connection> Link;
  ErrorCode Error;
  if (!All.Idle[Target].empty()) {
    Link = std::move(All.Idle[Target].back());
    All.Idle[Target].pop_back();
  } else {
    Link = std::make_unique<Connection>(All.Io);
    Link->Stream.expires_after(std::chrono::milliseconds(FLAGS_timeout_ms));
    co_await Link->Stream.async_connect(All.Targets[Target], into(Error));
    if (Error)
      co_return "no connection";
    Link->Stream.socket().set_option(tcp::no_delay(true), Error);
  }
  auto Request = buildRequest(Kind, Number);
  constexpr int Allowance = 2000; // ms beyond the deadline
  Link->Stream.expires_after(
      std::chrono::milliseconds(FLAGS_timeout_ms + Allowance));
  co_await beast::http::async_write(Link->Stream, Request, into(Error));
  beast::http::response<beast::http::string_body> Answer;
  if (!Error)
    co_await beast::http::async_read(Link->Stream, Link->Input, Answer,
                                     into(Error));
  if (Error)
    co_return "no answer";
  if (Answer.keep_alive())
    All.Idle[Target].push_back(std::move(Link));
  if (Answer.result_int() == 200)
    co_return "";
  std::string Reason(Answer["Currantgauge-Reason"]);
  co_return std::string(Answer["Currantgauge-Verdict"]) + " " +
      (Reason.empty() ? std::to_string(Answer.result_int()) : Reason);
}

asio::awaitable<void> one(Load &All, Clock::time_point Intended,
                          std::uint64_t Number) {
  const WorkKind &Kind = pick(All);
  std::string Bad =
      co_await exchange(All, Number % All.Targets.size(), Kind, Number);
  double Millis =
      std::chrono::duration<double, std::milli>(Clock::now() - Intended)
          .count();
  Result &Seen = All.Results[Kind.Method + " " + Kind.Path];
  if (Bad.empty())
    Seen.Millis.push_back(Millis);
  ++Seen.Seen[Bad.empty() ? "ok" : Bad];
  --All.Open;
}

asio::awaitable<void> arrivals(Load &All) {
  asio::steady_timer Timer(All.Io);
  auto Start = Clock::now();
  auto Intended = Start;
  std::exponential_distribution<> Gap(FLAGS_rate);
  while (std::chrono::duration<double>(Intended - Start).count() <
         FLAGS_seconds) {
    Timer.expires_at(Intended);
    ErrorCode Ignored;
    co_await Timer.async_wait(into(Ignored));
    ++All.Open;
    asio::co_spawn(All.Io, one(All, Intended, All.Sent++), asio::detached);
    Intended += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap(All.Source)));
  }
  while (All.Open > 0) {
    Timer.expires_after(std::chrono::milliseconds(20));
    ErrorCode Ignored;
    co_await Timer.async_wait(into(Ignored));
  }
  All.Io.stop();
}

double percentile(std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void printTable(Load &All) {
  std::printf("%-18s %8s %8s %8s %8s  %s\n", "work", "ok", "p50 ms", "p99 ms",
              "p99.9 ms", "other answers");
  for (auto &[Name, Seen] : All.Results) {
    std::string Other;
    for (const auto &[What, Count] : Seen.Seen)
      if (What != "ok")
        Other += std::to_string(Count) + " " + What + "; ";
    std::printf("%-18s %8zu %8.2f %8.2f %8.2f  %s\n", Name.c_str(),
                Seen.Millis.size(), percentile(Seen.Millis, 0.5),
                percentile(Seen.Millis, 0.99), percentile(Seen.Millis, 0.999),
                Other.c_str());
  }
}

nlohmann::json toJson(Load &All) {
  nlohmann::json Out;
  Out["sent"] = All.Sent;
  Out["rate"] = FLAGS_rate;
  for (auto &[Name, Seen] : All.Results)
    Out["kinds"][Name] = {{"p50_ms", percentile(Seen.Millis, 0.5)},
                          {"p90_ms", percentile(Seen.Millis, 0.9)},
                          {"p99_ms", percentile(Seen.Millis, 0.99)},
                          {"p999_ms", percentile(Seen.Millis, 0.999)},
                          {"answers", Seen.Seen}};
  return Out;
}

// The plot's share axis is logarithmic in the requests that took longer, so
// that p50, p90, p99 and p99.9 stand a step apart.
constexpr double PlotWidth = 640, PlotHeight = 320, PlotMargin = 50;
constexpr double PlotDecades = 3.5; // up to p99.97

double plotX(double Share) {
  return PlotMargin +
         (PlotWidth - 2 * PlotMargin) * -std::log10(1 - Share) / PlotDecades;
}

double plotY(double Millis, double Longest) {
  return PlotHeight - PlotMargin -
         (PlotHeight - 2 * PlotMargin) * Millis / Longest;
}

void plotAxes(std::ostream &Out, double Longest) {
  for (double Share : {0.0, 0.5, 0.9, 0.99, 0.999})
    Out << "<text x='" << plotX(Share) << "' y='" << PlotHeight - 30
        << "' text-anchor='middle'>p" << Share * 100 << "</text>\n";
  constexpr int Steps = 4;
  for (int I = 0; I <= Steps; ++I) {
    double Millis = Longest * I / Steps;
    double Y = plotY(Millis, Longest);
    Out << "<text x='4' y='" << Y << "'>" << Millis << " ms</text>\n<line x1='"
        << PlotMargin << "' x2='" << PlotWidth - PlotMargin << "' y1='" << Y
        << "' y2='" << Y << "' stroke='#ccc'/>\n";
  }
}

void plotLine(std::ostream &Out, std::vector<double> &Sorted, double Longest,
              const char *Color) {
  constexpr int Points = 200;
  Out << "<polyline fill='none' stroke='" << Color << "' points='";
  for (int I = 0; I <= Points; ++I) {
    double Share = 1 - std::pow(10, -PlotDecades * I / Points);
    Out << plotX(Share) << ',' << plotY(percentile(Sorted, Share), Longest)
        << ' ';
  }
  Out << "'/>\n";
}

void writeSvg(Load &All, std::ostream &Out) {
  constexpr const char *Colors[] = {"#1b6", "#c33", "#36c", "#a5a", "#c80"};
  constexpr double Step = 4; // ms: the labels of the axis are whole
  double Longest = Step;
  for (auto &[Name, Seen] : All.Results)
    Longest = std::max(
        Longest, std::ceil(percentile(Seen.Millis, 0.9997) / Step) * Step);
  Out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << PlotWidth
      << "' height='" << PlotHeight
      << "' font-family='sans-serif' font-size='11'>\n<text x='50' y='16'>"
         "latency from the intended start at "
      << FLAGS_rate << " requests/s</text>\n";
  plotAxes(Out, Longest);
  std::size_t Number = 0;
  for (auto &[Name, Seen] : All.Results) {
    const char *Color = Colors[Number % std::size(Colors)];
    plotLine(Out, Seen.Millis, Longest, Color);
    Out << "<text x='60' y='" << 34 + 14 * Number++ << "' fill='" << Color
        << "'>" << Name << "</text>\n";
  }
  Out << "</svg>\n";
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  Load All;
  readFlags(All);
  if (All.Mix.empty() || All.Targets.empty()) {
    std::cerr << "targets and mix must not be empty\n";
    return 2;
  }
  asio::co_spawn(All.Io, arrivals(All), asio::detached);
  All.Io.run();
  for (auto &[Name, Seen] : All.Results)
    std::sort(Seen.Millis.begin(), Seen.Millis.end());
  if (FLAGS_table)
    printTable(All);
  if (!FLAGS_svg.empty()) {
    std::ofstream Out(FLAGS_svg);
    writeSvg(All, Out);
  }
  if (FLAGS_json)
    std::cout << toJson(All).dump(2) << "\n";
  return 0;
}
