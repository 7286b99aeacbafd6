// Measures the time and memory for merging, checking and assembling a
// configuration of the target size, or of a share of it.
//
//   build/config_bench operator 0.1    the work of `config check`
//   build/config_bench node 1          a node's work for a new version
//   build/config_bench node 1 --json FILE   also writes the results as JSON;
//                                           - for standard output
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

constexpr std::size_t TargetRoutes = 23000;
constexpr std::size_t TargetWorkspaces = 240000;
constexpr std::size_t TargetServices = 2900;
constexpr std::size_t EntriesPerFile = 1000;
constexpr int SmallChanges = 50;

struct EntryCounts {
  std::size_t Routes;
  std::size_t Workspaces;
  std::size_t Services;
};

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

// Returns the resident memory of this process, assuming pages of 4 KiB.
double getResidentMiB() {
  std::ifstream Statm("/proc/self/statm");
  double Pages = 0;
  double Resident = 0;
  Statm >> Pages >> Resident;
  return Resident * 4096 / 1048576;
}

double getPeakMiB() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / 1024;
}

void addEntries(std::vector<config::ConfigFile> &Files,
                const std::string &Section, std::size_t Count,
                std::string (*Format)(std::size_t)) {
  for (std::size_t First = 0; First < Count; First += EntriesPerFile) {
    std::string Text = Section + ":\n";
    for (std::size_t Index = First;
         Index < std::min(Count, First + EntriesPerFile); ++Index)
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

std::vector<config::ConfigFile> makeFolder(const EntryCounts &Counts) {
  std::vector<config::ConfigFile> Files = {
      {"00.yaml", "ranks:\n  normal: {order: 0, share: 50%}\n"}};
  addEntries(Files, "services", Counts.Services, formatService);
  addEntries(Files, "kinds", Counts.Services, formatKind);
  addEntries(Files, "routes", Counts.Routes, formatRoute);
  addEntries(Files, "workspaces", Counts.Workspaces, formatWorkspace);
  return Files;
}

// Results holds the measurements for the JSON output.
struct Results {
  double Share = 1;
  nlohmann::ordered_json Figures = nlohmann::ordered_json::object();
};

void reportStep(Results &Output, const char *Step, const char *Key,
                double Seconds) {
  double ResidentMiB = getResidentMiB();
  double PeakMiB = getPeakMiB();
  std::printf("%-26s %4.0f%%  %8.3f s  %7.1f MiB now  %7.1f MiB peak\n", Step,
              Output.Share * 100, Seconds, ResidentMiB, PeakMiB);
  Output.Figures[Key] = {{"seconds", Seconds},
                         {"resident_mib", ResidentMiB},
                         {"peak_mib", PeakMiB}};
}

// Measures the work of `config check` in the operators' client.
void mergeAndCheck(Results &Output, const EntryCounts &Counts) {
  std::vector<config::ConfigFile> Files = makeFolder(Counts);
  config::SettingsErrors Errors;
  auto Start = Clock::now();
  config::Document Merged = config::mergeDocument(std::move(Files), Errors);
  reportStep(Output, "merge", "merge", secondsSince(Start));
  Start = Clock::now();
  if (!config::checkDocument(Merged, Errors))
    std::printf("errors: %zu\n", Errors.size());
  reportStep(Output, "check", "check", secondsSince(Start));
}

std::string makeDocument(const EntryCounts &Counts) {
  std::string Text;
  for (const config::ConfigFile &File : makeFolder(Counts))
    Text += File.Text;
  return Text;
}

void changeWorkspace(std::string &Text, int Change) {
  std::size_t Position = Text.find("workspace-" + std::to_string(Change) + ":");
  Position = Text.find("limit: 20/s", Position);
  Text.replace(Position, 11, "limit: 21/s");
}

// Measures a node's work for its first version and for the small changes that
// follow.
void measureNode(Results &Output, std::string Text) {
  double ResidentBefore = getResidentMiB();
  auto Start = Clock::now();
  config::AssembledConfig FirstVersion =
      config::assembleConfig({Text, {}, {}, {}});
  reportStep(Output, "node: first version", "first_version",
             secondsSince(Start));
  double HeldMiB = getResidentMiB() - ResidentBefore;
  std::printf("%-26s %4.0f%%  %8.1f MiB more held\n", "node: memory",
              Output.Share * 100, HeldMiB);
  Output.Figures["first_version"]["held_mib"] = HeldMiB;
  config::ConfigServer Server;
  config::serveDocument(
      Server, {base::ConfigVersion(1), {}, {}, {}, FirstVersion.Parts});
  config::AssembledConfig Last = FirstVersion;
  double ApplySeconds = 0;
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
    ApplySeconds += secondsSince(Start);
  }
  reportStep(Output, "node: one small change", "one_change",
             ApplySeconds / SmallChanges);
  std::printf("%-26s %4.0f%%  %8zu bytes of parts\n", "node: one small change",
              Output.Share * 100, Bytes / SmallChanges);
  Output.Figures["one_change"]["part_bytes"] = Bytes / SmallChanges;
}

// Returns false when the file can't be written.
bool writeJson(const Results &Output, const std::string &Path) {
  nlohmann::ordered_json Root = {{"share", Output.Share}};
  Root.update(Output.Figures);
  if (Path == "-") {
    std::cout << Root.dump(2) << std::endl;
    return true;
  }
  std::ofstream File(Path);
  File << Root.dump(2) << "\n";
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
  Results Output;
  Output.Share = std::strtod(Arguments[2], nullptr);
  auto Scale = [&](std::size_t FullCount) {
    return static_cast<std::size_t>(Output.Share *
                                    static_cast<double>(FullCount));
  };
  EntryCounts Counts{Scale(TargetRoutes), Scale(TargetWorkspaces),
                     Scale(TargetServices)};
  if (std::string(Arguments[1]) == "operator")
    mergeAndCheck(Output, Counts);
  else
    measureNode(Output, makeDocument(Counts));
  std::fflush(stdout);
  if (!WantsJson || writeJson(Output, Arguments[4]))
    return EXIT_SUCCESS;
  std::fprintf(stderr, "can't write %s\n", Arguments[4]);
  return EXIT_FAILURE;
}
