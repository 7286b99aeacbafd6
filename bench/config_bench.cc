// Merge, check and assembly of a configuration of the target's size, or of a
// share of it. Prints seconds and memory.
//
//   build/config_bench operator 0.1    what config check does
//   build/config_bench node 1          what a node does with a version
//   build/config_bench node 1 --json FILE   the figures as JSON too, - for
//                                           the standard output
#include "currantgauge/config/assemble.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/config/document.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t Routes = 23000;
constexpr std::size_t Workspaces = 240000;
constexpr std::size_t Services = 2900;
constexpr std::size_t FileEntries = 1000; // of one file of the folder
constexpr int SmallChanges = 50;

struct Size {
  std::size_t Routes;
  std::size_t Workspaces;
  std::size_t Services;
};

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

// Resident memory of this process now, in MiB.
double residentMiB() {
  std::ifstream Statm("/proc/self/statm");
  double Pages = 0;
  double Resident = 0;
  Statm >> Pages >> Resident;
  return Resident * 4096 / 1048576;
}

double peakMiB() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / 1024;
}

void addEntries(std::vector<config::ConfigFile> &Files,
                const std::string &Section, std::size_t Count,
                std::string (*Format)(std::size_t)) {
  for (std::size_t First = 0; First < Count; First += FileEntries) {
    std::string Text = Section + ":\n";
    for (std::size_t Index = First;
         Index < std::min(Count, First + FileEntries); ++Index)
      Text += Format(Index);
    Files.push_back({Section + "-" + std::to_string(1000000 + First) + ".yaml",
                     std::move(Text)});
  }
}

std::string formatService(std::size_t Index) {
  return "  service-" + std::to_string(Index) +
         ": {floor: 60%, hold_off: 5s, queue_length: 100}\n";
}

std::string formatKind(std::size_t Index) {
  return "  kind-" + std::to_string(Index) + ": {service: service-" +
         std::to_string(Index) + ", rank: normal, deadline: 2s}\n";
}

std::string formatRoute(std::size_t Index) {
  return "  route-" + std::to_string(Index) + ": {method: GET, prefix: /r/" +
         std::to_string(Index) + ", kind: kind-" + std::to_string(Index % 290) +
         "}\n";
}

std::string formatWorkspace(std::size_t Index) {
  return "  workspace-" + std::to_string(Index) +
         ": {limit: 20/s, burst: 40}\n";
}

std::vector<config::ConfigFile> makeFolder(const Size &Wanted) {
  std::vector<config::ConfigFile> Files = {
      {"00.yaml", "ranks:\n  normal: {order: 0, share: 50%}\n"}};
  addEntries(Files, "services", Wanted.Services, formatService);
  addEntries(Files, "kinds", Wanted.Services, formatKind);
  addEntries(Files, "routes", Wanted.Routes, formatRoute);
  addEntries(Files, "workspaces", Wanted.Workspaces, formatWorkspace);
  return Files;
}

// Results prints each figure as it comes and keeps it for the JSON.
struct Results {
  double Share = 1;
  nlohmann::ordered_json Figures = nlohmann::ordered_json::object();
};

void report(Results &Found, const char *Step, const char *Key, double Seconds) {
  double Now = residentMiB();
  double Peak = peakMiB();
  std::printf("%-26s %4.0f%%  %8.3f s  %7.1f MiB now  %7.1f MiB peak\n", Step,
              Found.Share * 100, Seconds, Now, Peak);
  Found.Figures[Key] = {
      {"seconds", Seconds}, {"resident_mib", Now}, {"peak_mib", Peak}};
}

// What `config check` does in the operators' client.
void mergeAndCheck(Results &Found, const Size &Wanted) {
  std::vector<config::ConfigFile> Files = makeFolder(Wanted);
  config::SettingsErrors Errors;
  auto Start = Clock::now();
  config::Document Merged = config::mergeDocument(std::move(Files), Errors);
  report(Found, "merge", "merge", secondsSince(Start));
  Start = Clock::now();
  if (!config::checkDocument(Merged, Errors))
    std::printf("errors: %zu\n", Errors.size());
  report(Found, "check", "check", secondsSince(Start));
}

std::string makeDocument(const Size &Wanted) {
  std::string Text;
  for (const config::ConfigFile &File : makeFolder(Wanted))
    Text += File.Text;
  return Text;
}

void changeWorkspace(std::string &Text, int Change) {
  std::size_t At = Text.find("workspace-" + std::to_string(Change) + ":");
  At = Text.find("limit: 20/s", At);
  Text.replace(At, 11, "limit: 21/s");
}

// What a node does with its first version and with small changes after it.
void assemble(Results &Found, std::string Text) {
  double Before = residentMiB();
  auto Start = Clock::now();
  config::AssembledConfig First = config::assembleConfig({Text, {}, {}, {}});
  report(Found, "node: first version", "first_version", secondsSince(Start));
  double Held = residentMiB() - Before;
  std::printf("%-26s %4.0f%%  %8.1f MiB more held\n", "node: memory",
              Found.Share * 100, Held);
  Found.Figures["first_version"]["held_mib"] = Held;
  config::ConfigServer Server;
  config::serveDocument(Server,
                        {base::ConfigVersion(1), {}, {}, {}, First.Parts});
  config::AssembledConfig Last = First;
  double Apply = 0;
  std::size_t Bytes = 0;
  for (int Change = 0; Change < SmallChanges; ++Change) {
    changeWorkspace(Text, Change);
    config::PartSetPtr Next = config::splitDocument(Text);
    base::ConfigVersion Version(static_cast<std::uint64_t>(Change) + 2);
    config::serveDocument(Server, {Version, {}, {}, {}, Next});
    for (const auto &Part :
         config::deltaSince(Server, base::ConfigVersion(Version.Value - 1))
             .Changed)
      Bytes += Part->Text.size();
    Start = Clock::now();
    Last = config::assembleConfig({"", Next, Last.Parts, Last.Config});
    Apply += secondsSince(Start);
  }
  report(Found, "node: one small change", "one_change", Apply / SmallChanges);
  std::printf("%-26s %4.0f%%  %8zu bytes of parts\n", "node: one small change",
              Found.Share * 100, Bytes / SmallChanges);
  Found.Figures["one_change"]["part_bytes"] = Bytes / SmallChanges;
}

// Returns false when the file can't be written.
bool writeJson(const Results &Found, const std::string &Path) {
  nlohmann::ordered_json Whole = {{"share", Found.Share}};
  Whole.update(Found.Figures);
  if (Path == "-") {
    std::cout << Whole.dump(2) << std::endl;
    return true;
  }
  std::ofstream File(Path);
  File << Whole.dump(2) << "\n";
  return static_cast<bool>(File.flush());
}

} // namespace
} // namespace currantgauge

int main(int Count, char **Arguments) {
  using namespace currantgauge;
  bool WantsJson = Count == 5 && std::string(Arguments[3]) == "--json";
  if (Count != 3 && !WantsJson) {
    std::fprintf(stderr,
                 "usage: config_bench operator|node SHARE [--json FILE]\n");
    return 2;
  }
  Results Found;
  Found.Share = std::strtod(Arguments[2], nullptr);
  auto Part = [&](std::size_t Whole) {
    return static_cast<std::size_t>(Found.Share * static_cast<double>(Whole));
  };
  Size Wanted{Part(Routes), Part(Workspaces), Part(Services)};
  if (std::string(Arguments[1]) == "operator")
    mergeAndCheck(Found, Wanted);
  else
    assemble(Found, makeDocument(Wanted));
  std::fflush(stdout);
  if (!WantsJson || writeJson(Found, Arguments[4]))
    return EXIT_SUCCESS;
  std::fprintf(stderr, "can't write %s\n", Arguments[4]);
  return EXIT_FAILURE;
}
