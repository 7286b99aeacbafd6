// Open-loop load generator for real nodes. Requests arrive at a fixed average
// rate, and latency is measured from the intended start, so that a slow fleet
// neither reduces the load nor hides its queueing delay.
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

DEFINE_string(targets, "127.0.0.1:8080",
              "IP:port of the nodes, separated by commas");
DEFINE_double(rate, 540, "requests per second, over all targets");
DEFINE_double(seconds, 10, "duration of the load, in seconds");
DEFINE_string(mix, "GET:/lists/7:100",
              "METHOD:PATH:WEIGHT, separated by commas");
DEFINE_bool(unique_keys, false, "send a unique Idempotency-Key with each POST");
DEFINE_string(workspace, "", "workspace of the requests");
DEFINE_int32(timeout_ms, 5000, "deadline of a request, in milliseconds");
DEFINE_int32(body_bytes, 0, "size of a POST's body, in bytes");
DEFINE_bool(table, false, "print the results as a table");
DEFINE_bool(json, false, "print the results as JSON");
DEFINE_string(svg, "", "file to write a plot of the latency percentiles to");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

struct RequestKind {
  std::string Method;
  std::string Path;
  double Weight = 1;
};

// Result holds the outcomes of one kind of request.
struct Result {
  std::vector<double> Millis; // of status 200, from the intended start
  // By "ok", verdict and reason (else status), "no connection" or "no answer".
  std::map<std::string, std::uint64_t> CountByOutcome;
};

struct Connection {
  beast::tcp_stream Stream;
  beast::flat_buffer Input;

  explicit Connection(asio::io_context &Io) : Stream(Io) {}
};

struct LoadRun {
  asio::io_context Io{1};
  std::vector<tcp::endpoint> Targets;
  std::vector<std::vector<std::unique_ptr<Connection>>> IdleConnections;
  std::vector<RequestKind> Mix;
  std::map<std::string, Result> Results;
  std::mt19937_64 Source{1};
  std::uint64_t SentCount = 0;
  std::uint64_t OpenCount = 0;
};

auto redirectTo(ErrorCode &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

void readFlags(LoadRun &Run) {
  for (const std::string &Target : split(FLAGS_targets, ',')) {
    std::size_t Colon = Target.rfind(':');
    Run.Targets.emplace_back(
        asio::ip::make_address(Target.substr(0, Colon)),
        static_cast<std::uint16_t>(std::stoi(Target.substr(Colon + 1))));
  }
  Run.IdleConnections.resize(Run.Targets.size());
  for (const std::string &Kind : split(FLAGS_mix, ',')) {
    auto Parts = split(Kind, ':');
    if (Parts.size() == 3)
      Run.Mix.push_back({Parts[0], Parts[1], std::stod(Parts[2])});
  }
}

const RequestKind &pickKind(LoadRun &Run) {
  double Total = 0;
  for (const RequestKind &Kind : Run.Mix)
    Total += Kind.Weight;
  double Draw = std::uniform_real_distribution<>(0, Total)(Run.Source);
  for (const RequestKind &Kind : Run.Mix) {
    if (Draw < Kind.Weight)
      return Kind;
    Draw -= Kind.Weight;
  }
  return Run.Mix.back();
}

beast::http::request<beast::http::string_body>
buildRequest(const RequestKind &Kind, std::uint64_t Number) {
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

asio::awaitable<std::string> exchange(LoadRun &Run, std::size_t Target,
                                      const RequestKind &Kind,
                                      std::uint64_t Number) {
  std::unique_ptr<Connection> Conn;
  ErrorCode Error;
  if (!Run.IdleConnections[Target].empty()) {
    Conn = std::move(Run.IdleConnections[Target].back());
    Run.IdleConnections[Target].pop_back();
  } else {
    Conn = std::make_unique<Connection>(Run.Io);
    Conn->Stream.expires_after(std::chrono::milliseconds(FLAGS_timeout_ms));
    co_await Conn->Stream.async_connect(Run.Targets[Target], redirectTo(Error));
    if (Error)
      co_return "no connection";
    Conn->Stream.socket().set_option(tcp::no_delay(true), Error);
  }
  auto Request = buildRequest(Kind, Number);
  constexpr int GraceMillis = 2000; // beyond the deadline
  Conn->Stream.expires_after(
      std::chrono::milliseconds(FLAGS_timeout_ms + GraceMillis));
  co_await beast::http::async_write(Conn->Stream, Request, redirectTo(Error));
  beast::http::response<beast::http::string_body> Answer;
  if (!Error)
    co_await beast::http::async_read(Conn->Stream, Conn->Input, Answer,
                                     redirectTo(Error));
  if (Error)
    co_return "no answer";
  if (Answer.keep_alive())
    Run.IdleConnections[Target].push_back(std::move(Conn));
  if (Answer.result_int() == 200)
    co_return "";
  std::string Reason(Answer["Currantgauge-Reason"]);
  co_return std::string(Answer["Currantgauge-Verdict"]) + " " +
      (Reason.empty() ? std::to_string(Answer.result_int()) : Reason);
}

asio::awaitable<void> runRequest(LoadRun &Run, Clock::time_point IntendedStart,
                                 std::uint64_t Number) {
  const RequestKind &Kind = pickKind(Run);
  std::string Failure =
      co_await exchange(Run, Number % Run.Targets.size(), Kind, Number);
  double Millis =
      std::chrono::duration<double, std::milli>(Clock::now() - IntendedStart)
          .count();
  Result &KindResult = Run.Results[Kind.Method + " " + Kind.Path];
  if (Failure.empty())
    KindResult.Millis.push_back(Millis);
  ++KindResult.CountByOutcome[Failure.empty() ? "ok" : Failure];
  --Run.OpenCount;
}

asio::awaitable<void> generateLoad(LoadRun &Run) {
  asio::steady_timer Timer(Run.Io);
  auto Start = Clock::now();
  auto IntendedStart = Start;
  std::exponential_distribution<> InterarrivalTime(FLAGS_rate);
  while (std::chrono::duration<double>(IntendedStart - Start).count() <
         FLAGS_seconds) {
    Timer.expires_at(IntendedStart);
    ErrorCode Ignored;
    co_await Timer.async_wait(redirectTo(Ignored));
    ++Run.OpenCount;
    asio::co_spawn(Run.Io, runRequest(Run, IntendedStart, Run.SentCount++),
                   asio::detached);
    IntendedStart += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(InterarrivalTime(Run.Source)));
  }
  while (Run.OpenCount > 0) {
    Timer.expires_after(std::chrono::milliseconds(20));
    ErrorCode Ignored;
    co_await Timer.async_wait(redirectTo(Ignored));
  }
  Run.Io.stop();
}

double percentile(std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void printTable(LoadRun &Run) {
  std::printf("%-18s %8s %8s %8s %8s  %s\n", "work", "ok", "p50 ms", "p99 ms",
              "p99.9 ms", "other answers");
  for (auto &[Name, KindResult] : Run.Results) {
    std::string OtherOutcomes;
    for (const auto &[Outcome, Count] : KindResult.CountByOutcome)
      if (Outcome != "ok")
        OtherOutcomes += std::to_string(Count) + " " + Outcome + "; ";
    std::printf("%-18s %8zu %8.2f %8.2f %8.2f  %s\n", Name.c_str(),
                KindResult.Millis.size(), percentile(KindResult.Millis, 0.5),
                percentile(KindResult.Millis, 0.99),
                percentile(KindResult.Millis, 0.999), OtherOutcomes.c_str());
  }
}

nlohmann::json toJson(LoadRun &Run) {
  nlohmann::json Out;
  Out["sent"] = Run.SentCount;
  Out["rate"] = FLAGS_rate;
  for (auto &[Name, KindResult] : Run.Results)
    Out["kinds"][Name] = {{"p50_ms", percentile(KindResult.Millis, 0.5)},
                          {"p90_ms", percentile(KindResult.Millis, 0.9)},
                          {"p99_ms", percentile(KindResult.Millis, 0.99)},
                          {"p999_ms", percentile(KindResult.Millis, 0.999)},
                          {"answers", KindResult.CountByOutcome}};
  return Out;
}

// The horizontal axis is logarithmic in the share of slower requests, so that
// p90, p99 and p99.9 are equally spaced.
constexpr double PlotWidth = 640, PlotHeight = 320, PlotMargin = 50;
constexpr double PlotDecades = 3.5; // up to p99.97

double plotX(double Share) {
  return PlotMargin +
         (PlotWidth - 2 * PlotMargin) * -std::log10(1 - Share) / PlotDecades;
}

double plotY(double Millis, double MaxMillis) {
  return PlotHeight - PlotMargin -
         (PlotHeight - 2 * PlotMargin) * Millis / MaxMillis;
}

void plotAxes(std::ostream &Out, double MaxMillis) {
  for (double Share : {0.0, 0.5, 0.9, 0.99, 0.999})
    Out << "<text x='" << plotX(Share) << "' y='" << PlotHeight - 30
        << "' text-anchor='middle'>p" << Share * 100 << "</text>\n";
  constexpr int Steps = 4;
  for (int I = 0; I <= Steps; ++I) {
    double Millis = MaxMillis * I / Steps;
    double Y = plotY(Millis, MaxMillis);
    Out << "<text x='4' y='" << Y << "'>" << Millis << " ms</text>\n<line x1='"
        << PlotMargin << "' x2='" << PlotWidth - PlotMargin << "' y1='" << Y
        << "' y2='" << Y << "' stroke='#ccc'/>\n";
  }
}

void plotLine(std::ostream &Out, std::vector<double> &Sorted, double MaxMillis,
              const char *Color) {
  constexpr int Points = 200;
  Out << "<polyline fill='none' stroke='" << Color << "' points='";
  for (int I = 0; I <= Points; ++I) {
    double Share = 1 - std::pow(10, -PlotDecades * I / Points);
    Out << plotX(Share) << ',' << plotY(percentile(Sorted, Share), MaxMillis)
        << ' ';
  }
  Out << "'/>\n";
}

void writeSvg(LoadRun &Run, std::ostream &Out) {
  constexpr const char *Colors[] = {"#1b6", "#c33", "#36c", "#a5a", "#c80"};
  constexpr double StepMillis =
      4; // a multiple of 4, for whole numbers as labels of the axis
  double MaxMillis = StepMillis;
  for (auto &[Name, KindResult] : Run.Results)
    MaxMillis =
        std::max(MaxMillis,
                 std::ceil(percentile(KindResult.Millis, 0.9997) / StepMillis) *
                     StepMillis);
  Out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << PlotWidth
      << "' height='" << PlotHeight
      << "' font-family='sans-serif' font-size='11'>\n<text x='50' y='16'>"
         "latency from the intended start at "
      << FLAGS_rate << " requests/s</text>\n";
  plotAxes(Out, MaxMillis);
  std::size_t Number = 0;
  for (auto &[Name, KindResult] : Run.Results) {
    const char *Color = Colors[Number % std::size(Colors)];
    plotLine(Out, KindResult.Millis, MaxMillis, Color);
    Out << "<text x='60' y='" << 34 + 14 * Number++ << "' fill='" << Color
        << "'>" << Name << "</text>\n";
  }
  Out << "</svg>\n";
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  LoadRun Run;
  readFlags(Run);
  if (Run.Mix.empty() || Run.Targets.empty()) {
    std::cerr << "error: --targets needs an IP:port, and --mix an entry "
                 "METHOD:PATH:WEIGHT\n";
    return 2;
  }
  asio::co_spawn(Run.Io, generateLoad(Run), asio::detached);
  Run.Io.run();
  for (auto &[Name, KindResult] : Run.Results)
    std::sort(KindResult.Millis.begin(), KindResult.Millis.end());
  if (FLAGS_table)
    printTable(Run);
  if (!FLAGS_svg.empty()) {
    std::ofstream Out(FLAGS_svg);
    writeSvg(Run, Out);
  }
  if (FLAGS_json)
    std::cout << toJson(Run).dump(2) << "\n";
  return 0;
}
