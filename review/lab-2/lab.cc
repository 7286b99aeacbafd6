#include "review/lab-2/lab.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr char Program[] = "target/currantgauge";
constexpr char Template[] = "deploy/settings.yaml.tmpl";
constexpr Millis BeatInterval{500};
constexpr Millis CallTimeout{1000};
constexpr Millis ReadyTimeout{20000};
constexpr Millis DiscoveryTime{2500};
constexpr int FirstClientPort = 18140;

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At; (At = Text.find(From)) != std::string::npos;)
    Text.replace(At, From.size(), To);
}

// Keeps or drops the template's section for the first start of the system.
void fillSection(std::string &Text, bool Keep) {
  const std::string Open = "{{#bootstrap}}\n", Close = "{{/bootstrap}}\n";
  std::size_t Begin = Text.find(Open), End = Text.find(Close);
  if (Begin == std::string::npos || End == std::string::npos)
    throw std::runtime_error("the settings template has no bootstrap section");
  std::string Section =
      Text.substr(Begin + Open.size(), End - Begin - Open.size());
  Text.replace(Begin, End + Close.size() - Begin, Keep ? Section : "");
}

// The bounds are those of the small deployments.
std::string makeSettings(const Lab &Fleet, const Machine &Place) {
  std::string Text = readFile(Template);
  fillSection(Text, Place.Starts == 0);
  const std::map<std::string, std::string> Values = {
      {"node", Place.Name},
      {"region", Place.Zone.substr(0, Place.Zone.find('-'))},
      {"zone", Place.Zone},
      {"service", Place.Application->Service},
      {"application", Place.Application->Address},
      {"listen.outbound", Place.Clients},
      {"listen.inbound", Place.Peers},
      {"listen.control", Place.Control},
      {"listen.ready", Place.Ready},
      {"ipAddress", Place.Host},
      {"internalPortRange.0", Place.OperatorsPort},
      {"platform.address", Fleet.Platform.Address},
      {"contracts", "base,drain,config,cost,retry,recover,health,platform"},
      {"bounds.gracePeriodS", "6"},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.retryBudgetSlack", "56"},
      {"bounds.budgetWindowS", "10"}};
  for (const auto &[Name, Value] : Values)
    replaceAll(Text, "{{" + Name + "}}", Value);
  if (Text.find("{{") != std::string::npos)
    throw std::runtime_error("the settings template has an unknown field");
  return Text;
}

bool isReady(const Machine &Place) {
  try {
    Socket Conn = connectTo(Place.Ready, CallTimeout);
    sendAll(Conn, formatRequest("GET", "/api/readiness", {{"Host", "x"}}, ""));
    return readMessage(Conn).Second == "200";
  } catch (const NetError &) {
    return false;
  }
}

int callControl(const Machine &Place, const std::string &Call,
                const std::string &Body) {
  try {
    Socket Conn = connectTo(Place.Control, CallTimeout);
    sendAll(Conn,
            formatRequest("POST",
                          "/api/rpc?call=instances." + Call +
                              "&of=" + Place.Application->Id,
                          {{"Host", "x"}, {"Content-Type", "application/json"}},
                          Body));
    return std::stoi(readMessage(Conn).Second);
  } catch (const NetError &) {
    return 0;
  }
}

void refuse(Socket &Conn, int Status, const std::string &Attempt) {
  sendAll(Conn, formatAnswer(Status,
                             {{"Currantgauge-Attempt-Id", Attempt},
                              {"Currantgauge-Not-Executed", "1"}},
                             ""));
}

void serveTarget(Lab &Fleet, Target &Application, Socket &Conn) {
  while (true) {
    Message Request = readMessage(Conn);
    if (Request.Second == "/health") {
      sendAll(Conn,
              formatAnswer(200, {{"Currantgauge-Instance-Id", Application.Id}},
                           ""));
      continue;
    }
    std::string Attempt = Request.Headers["currantgauge-attempt-id"];
    std::string Expected = Request.Headers["currantgauge-expected-instance"];
    if (Attempt.empty() || (!Expected.empty() && Expected != Application.Id)) {
      refuse(Conn, Attempt.empty() ? 400 : 421, Attempt);
      continue;
    }
    {
      std::lock_guard<std::mutex> Guard(Application.Lock);
      Application.Runs.push_back({Attempt, secondsOf(Fleet)});
    }
    Application.Answer(Request, Conn);
  }
}

void acceptTarget(Lab &Fleet, Target &Application, Socket &Conn) {
  {
    std::lock_guard<std::mutex> Guard(Application.Lock);
    if (Application.Ended)
      return closeSocket(Conn, true);
    Application.Open.insert(Conn.Handle);
  }
  try {
    serveTarget(Fleet, Application, Conn);
  } catch (const NetError &) {
    // The node closed the connection, or the target has ended.
  }
  std::lock_guard<std::mutex> Guard(Application.Lock);
  Application.Open.erase(Conn.Handle);
}

void startBeats(Machine &Place) {
  std::thread([&Place] {
    Target &Application = *Place.Application;
    while (true) {
      if (Application.Beats)
        sendBeat(Place, ++Application.Sequence, "ready");
      pauseFor(BeatInterval);
    }
  }).detach();
}

} // namespace

void runCase(int Count, char **Values, const std::function<int(Lab &)> &Check) {
  std::signal(SIGPIPE, SIG_IGN);
  Lab &Fleet = *new Lab;
  Fleet.Record.open(Count > 1 ? Values[1] : "record.txt");
  const char *Switch = std::getenv("TROUBLE");
  Fleet.Trouble = !Switch || std::string(Switch) != "0";
  Fleet.Folder = std::filesystem::temp_directory_path().string() + "/review-" +
                 std::to_string(getpid());
  std::filesystem::create_directories(Fleet.Folder);
  int Code = 2;
  try {
    startStore(Fleet.Platform);
    Code = Check(Fleet);
  } catch (const std::exception &Failure) {
    note(Fleet, std::string("could not run: ") + Failure.what());
    std::cout << "could not run: " << Failure.what() << std::endl;
  }
  for (auto &Place : Fleet.Machines)
    if (Place->Process > 0) {
      kill(Place->Process, SIGKILL);
      waitpid(Place->Process, nullptr, 0);
    }
  std::error_code Ignored;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Fleet.Folder, Ignored);
  std::_Exit(Code);
}

double secondsOf(const Lab &Fleet) {
  return std::chrono::duration<double>(Clock::now() - Fleet.Begin).count();
}

void pauseFor(Millis Span) { std::this_thread::sleep_for(Span); }

void note(Lab &Fleet, const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", secondsOf(Fleet));
  std::lock_guard<std::mutex> Guard(Fleet.RecordLock);
  Fleet.Record << Time << Text << std::endl;
}

Fields signatureFields(const Message &Request) {
  const std::string &Attempt = Request.Headers.at("currantgauge-attempt-id");
  return {{"Currantgauge-Attempt-Id", Attempt},
          {"Currantgauge-Response-Signature", "of." + Attempt}};
}

std::function<void(const Message &, Socket &)> answerAfter(Millis Work,
                                                           std::string Body) {
  return [Work, Body = std::move(Body)](const Message &Request, Socket &Conn) {
    pauseFor(Work);
    sendAll(Conn, formatAnswer(200, signatureFields(Request), Body));
  };
}

Machine &addMachine(Lab &Fleet, const std::string &Service, int Slots,
                    std::function<void(const Message &, Socket &)> Answer) {
  auto Place = std::make_unique<Machine>();
  std::string Number = std::to_string(Fleet.Machines.size() + 1);
  int Process = getpid();
  Place->Name = "machine-" + Number;
  Place->Zone = "north-a";
  // The settings fix a port for metrics, so that each node has an address.
  Place->Host = "127." + std::to_string(64 + Process / 250 % 60) + "." +
                std::to_string(Process % 250) + "." + Number;
  int Port = FirstClientPort;
  for (std::string *Address :
       {&Place->Clients, &Place->Peers, &Place->Control, &Place->Ready})
    *Address = Place->Host + ":" + std::to_string(++Port);
  Place->OperatorsPort = std::to_string(findFreePort("127.0.0.1"));
  Place->SettingsPath = Fleet.Folder + "/" + Place->Name + ".yaml";
  Place->LogPath = Fleet.Folder + "/" + Place->Name + ".log";
  Place->Application = std::make_unique<Target>();
  Target &Application = *Place->Application;
  Application.Id = "i-" + Number;
  Application.Service = Service;
  Application.Slots = Slots;
  Application.Born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  Application.Answer = std::move(Answer);
  Application.Address =
      listenOn(Place->Host, [&Fleet, &Application](Socket &Conn) {
        acceptTarget(Fleet, Application, Conn);
      });
  Fleet.Machines.push_back(std::move(Place));
  return *Fleet.Machines.back();
}

void startNode(Lab &Fleet, Machine &Place) {
  std::ofstream(Place.SettingsPath) << makeSettings(Fleet, Place);
  ++Place.Starts;
  std::string Argument = "--settings=" + Place.SettingsPath;
  pid_t Process = fork();
  if (Process == 0) {
    int Log = open(Place.LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the node ends with the case
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execl(Program, Program, "serve", Argument.c_str(), nullptr);
    std::_Exit(127);
  }
  Place.Process = Process;
  note(Fleet, Place.Name + " started, process " + std::to_string(Process));
}

void signalNode(Lab &Fleet, Machine &Place, int Signal) {
  note(Fleet, Place.Name + " gets signal " + std::to_string(Signal));
  kill(Place.Process, Signal);
}

bool reapNode(Lab &Fleet, Machine &Place) {
  int Status = 0;
  if (Place.Process <= 0 || waitpid(Place.Process, &Status, WNOHANG) == 0)
    return false;
  Place.Process = -1;
  note(Fleet,
       Place.Name +
           (WIFSIGNALED(Status)
                ? " was ended by signal " + std::to_string(WTERMSIG(Status))
                : " exited with " + std::to_string(WEXITSTATUS(Status))));
  return true;
}

std::uint64_t residentBytes(const Machine &Place) {
  std::ifstream File("/proc/" + std::to_string(Place.Process) + "/statm");
  std::uint64_t Total = 0, Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

int sendBeat(Machine &Place, std::uint64_t Sequence, const std::string &State) {
  const Target &Application = *Place.Application;
  nlohmann::json Body = {
      {"address", Application.Address},
      {"born", Application.Born},
      {"information",
       {{"service", Application.Service},
        {"version", "v1"},
        {"zone", Place.Zone},
        {"slots", Application.Slots}}},
      {"status",
       {{"state", State}, {"sequence", Sequence}, {"coldRemainingMs", 0}}}};
  return callControl(Place, "heartbeat", Body.dump());
}

int sendDeregister(Machine &Place) {
  nlohmann::json Body = {{"born", Place.Application->Born}};
  return callControl(Place, "deregister", Body.dump());
}

void endTarget(Machine &Place) {
  Target &Application = *Place.Application;
  Application.Beats = false;
  std::lock_guard<std::mutex> Guard(Application.Lock);
  Application.Ended = true;
  for (int Handle : Application.Open)
    shutdown(Handle, SHUT_RDWR);
}

void startFleet(Lab &Fleet, const nlohmann::json &Routes) {
  std::vector<std::string> Services;
  for (const auto &Place : Fleet.Machines)
    Services.push_back(Place->Application->Service);
  writeConfig(Fleet.Platform, "r1", Services, Routes);
  for (const auto &Place : Fleet.Machines) {
    startNode(Fleet, *Place);
    startBeats(*Place);
  }
  auto Deadline = Clock::now() + ReadyTimeout;
  for (const auto &Place : Fleet.Machines)
    while (!isReady(*Place)) {
      if (Clock::now() > Deadline)
        throw std::runtime_error(Place->Name + " did not become ready");
      pauseFor(Millis(50));
    }
  pauseFor(DiscoveryTime);
  note(Fleet, "all nodes are ready");
}

std::size_t countRuns(Lab &Fleet, const std::string &Attempt) {
  std::size_t Count = 0;
  for (const auto &Place : Fleet.Machines) {
    std::lock_guard<std::mutex> Guard(Place->Application->Lock);
    for (const Run &Begun : Place->Application->Runs)
      Count += Begun.Attempt == Attempt ? 1 : 0;
  }
  return Count;
}

Fields requestFields(const std::string &Attempt, int DeadlineMillis) {
  return {
      {"Host", "x.example"},
      {"Currantgauge-Attempt-Id", Attempt},
      {"Currantgauge-Deadline-Milliseconds", std::to_string(DeadlineMillis)}};
}

int finish(Lab &Fleet, bool Broken, const std::string &Text) {
  std::string Verdict = std::string(Broken ? "BROKEN: " : "held: ") + Text +
                        (Fleet.Trouble ? "" : " (without the disruption)");
  note(Fleet, Verdict);
  std::cout << Verdict << std::endl;
  return Broken ? 1 : 0;
}

} // namespace review
