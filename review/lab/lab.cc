#include "review/lab/lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace currantgauge::review {
namespace {

using nlohmann::json;

constexpr Millis PingTimeout{1000};
constexpr Millis LongTime{3600 * 1000};
constexpr char RoutesHost[] = "lists.example";

std::string encodeBase64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t I = 0; I < 3; ++I)
      Group = (Group << 8) |
              (At + I < Bytes.size() ? static_cast<unsigned char>(Bytes[At + I])
                                     : 0U);
    for (std::size_t I = 0; I < 4; ++I)
      Text +=
          I <= Bytes.size() - At ? Digits[(Group >> (18 - 6 * I)) & 63] : '=';
  }
  return Text;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Start = Target.find('?');
  if (Start == std::string::npos)
    return Query;
  std::istringstream Pairs(Target.substr(Start + 1));
  for (std::string Pair; std::getline(Pairs, Pair, '&');) {
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Query[Pair.substr(0, Equals)] = Pair.substr(Equals + 1);
  }
  return Query;
}

std::string targetOf(const HttpMessage &Request) {
  std::size_t First = Request.StartLine.find(' ');
  return Request.StartLine.substr(First + 1,
                                  Request.StartLine.rfind(' ') - First - 1);
}

HttpMessage makeAnswer(int Status, std::string Body) {
  return HttpMessage{"HTTP/1.1 " + std::to_string(Status) + " -", {}, Body};
}

json rowJson(const std::pair<std::string, std::string> &Name,
             const StoreRow &Row) {
  return {{"table", Name.first},
          {"part", ""},
          {"key", Name.second},
          {"value", Row.Value},
          {"versionNumber", Row.Version}};
}

HttpMessage makeRowsAnswer(const Store &Platform, int Status, json Rows) {
  json Body{{"rows", std::move(Rows)},
            {"hasMore", false},
            {"versionNumber", Platform.Version},
            {"monotonicTimeMs", 0}};
  HttpMessage Answer = makeAnswer(Status, Body.dump());
  Answer.Fields.emplace_back("Content-Type", "application/json");
  return Answer;
}

HttpMessage runTransaction(Store &Platform, const json &Body) {
  for (const json &Entry : Body.value("expected", json::array())) {
    auto It = Platform.Rows.find({Entry.at("table"), Entry.at("key")});
    std::uint64_t Version = It == Platform.Rows.end() ? 0 : It->second.Version;
    if (Version != Entry.at("versionNumber"))
      return makeRowsAnswer(Platform, 412, json::array());
  }
  ++Platform.Version;
  for (const json &Entry : Body.value("put", json::array())) {
    std::pair<std::string, std::string> Name{Entry.at("table"),
                                             Entry.at("key")};
    Platform.Rows[Name] = StoreRow{Entry.at("value"), Platform.Version};
    Platform.Log.emplace_back(Platform.Version, Name);
  }
  for (const json &Entry : Body.value("remove", json::array())) {
    std::pair<std::string, std::string> Name{Entry.at("table"),
                                             Entry.at("key")};
    Platform.Rows.erase(Name);
    Platform.Log.emplace_back(Platform.Version, Name);
  }
  Platform.Changed.notify_all();
  return makeRowsAnswer(Platform, 200, json::array());
}

HttpMessage getRows(const Store &Platform,
                    std::map<std::string, std::string> Query) {
  json Rows = json::array();
  std::size_t Limit = Query.contains("limit")
                          ? std::strtoul(Query["limit"].c_str(), nullptr, 10)
                          : 500;
  for (auto It = Platform.Rows.lower_bound({Query["table"], Query["from"]});
       It != Platform.Rows.end() && It->first.first == Query["table"] &&
       Rows.size() < Limit;
       ++It)
    Rows.push_back(rowJson(It->first, It->second));
  return makeRowsAnswer(Platform, 200, std::move(Rows));
}

json changesSince(const Store &Platform, const std::string &Table,
                  std::uint64_t After) {
  json Rows = json::array();
  for (const auto &[Version, Name] : Platform.Log) {
    if (Version <= After || Name.first != Table)
      continue;
    auto It = Platform.Rows.find(Name);
    if (It != Platform.Rows.end())
      Rows.push_back(rowJson(Name, It->second));
    else
      Rows.push_back({{"table", Name.first},
                      {"part", ""},
                      {"key", Name.second},
                      {"removed", true}});
  }
  return Rows;
}

HttpMessage readFeed(Store &Platform, std::unique_lock<std::mutex> &Guard,
                     std::map<std::string, std::string> Query) {
  std::uint64_t After = std::strtoull(Query["after"].c_str(), nullptr, 10);
  auto End =
      Clock::now() + Millis(std::strtoul(Query["waitMs"].c_str(), nullptr, 10));
  json Rows;
  while ((Rows = changesSince(Platform, Query["table"], After)).empty() &&
         Clock::now() < End)
    Platform.Changed.wait_until(Guard, End);
  return makeRowsAnswer(Platform, 200, std::move(Rows));
}

HttpMessage answerStoreCall(Store &Platform, const HttpMessage &Call) {
  std::unique_lock<std::mutex> Guard(Platform.Lock);
  std::string Target = targetOf(Call);
  std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/api/rows-tx")
    return runTransaction(Platform, json::parse(Call.Body));
  if (Path == "/api/rows-get")
    return getRows(Platform, parseQuery(Target));
  if (Path == "/api/rows-feed")
    return readFeed(Platform, Guard, parseQuery(Target));
  return makeAnswer(404, "");
}

void serveStoreCalls(Store &Platform, int Fd, std::uint64_t Number) {
  Connection Link{Fd, ""};
  HttpMessage Call;
  while (readMessage(Link, Call, Clock::now() + LongTime)) {
    std::string Bytes = formatMessage(answerStoreCall(Platform, Call));
    bool Silent = false;
    {
      std::lock_guard<std::mutex> Guard(Platform.Lock);
      Silent = Number < Platform.SilentBelow;
    }
    if (!Silent && !writeAll(Fd, Bytes))
      break;
  }
  ::close(Fd);
}

bool refuses(const Target &Server, const HttpMessage &Call) {
  std::string Expected = fieldOf(Call, "Currantgauge-Expected-Instance");
  return !Expected.empty() && Expected != Server.Id;
}

HttpMessage runCall(Target &Server, const HttpMessage &Call) {
  std::string Attempt = fieldOf(Call, "Currantgauge-Attempt-Id");
  {
    std::lock_guard<std::mutex> Guard(Server.Lock);
    Server.Runs.push_back({Attempt, targetOf(Call), Clock::now()});
  }
  if (Server.OnCrash && Call.Body.find("CRASH") != std::string::npos &&
      !isEnded(Server)) {
    endTarget(Server);
    Server.OnCrash();
  }
  std::this_thread::sleep_for(Millis(Server.WorkMillis));
  HttpMessage Answer =
      makeAnswer(200, Server.Service + " " + Server.Id + " " + targetOf(Call));
  Answer.Fields = {{"Currantgauge-Attempt-Id", Attempt},
                   {"Currantgauge-Response-Signature", "of-" + Attempt}};
  return Answer;
}

void serveCalls(Target &Server, int Fd) {
  Connection Link{Fd, ""};
  HttpMessage Call;
  while (readMessage(Link, Call, Clock::now() + LongTime)) {
    HttpMessage Answer;
    if (targetOf(Call) == "/health") {
      Answer = makeAnswer(200, "");
      Answer.Fields = {{"Currantgauge-Instance-Id", Server.Id}};
    } else if (refuses(Server, Call)) {
      Answer = makeAnswer(421, "");
      Answer.Fields = {{"Currantgauge-Instance-Id", Server.Id},
                       {"Currantgauge-Not-Executed", "1"}};
    } else {
      if (Server.OnCall && Server.OnCall(Fd, Call))
        break;
      Answer = runCall(Server, Call);
    }
    if (!writeAll(Fd, formatMessage(Answer)))
      break;
  }
  std::lock_guard<std::mutex> Guard(Server.Lock);
  std::erase(Server.OpenSockets, Fd);
  ::close(Fd);
}

std::string formatPing(const std::string &Call, const std::string &Id,
                       const json &Body) {
  return formatMessage(
      {"POST /api/rpc?call=instances." + Call + "&of=" + Id + " HTTP/1.1",
       {{"Host", "control"},
        {"Content-Type", "application/json"},
        {"Connection", "close"}},
       Body.dump()});
}

// Supports plain values and the section of one switch, as in the deploy file's
// template.
std::string fillTemplate(std::string Text,
                         const std::map<std::string, std::string> &Values) {
  std::size_t Open = Text.find("{{#bootstrap}}");
  std::size_t Close = Text.find("{{/bootstrap}}");
  std::string Section = Text.substr(Open + 14, Close - Open - 14);
  Text.replace(Open, Close + 14 - Open,
               Values.at("bootstrap") == "true" ? Section : "");
  while ((Open = Text.find("{{")) != std::string::npos) {
    Close = Text.find("}}", Open);
    Text.replace(Open, Close + 2 - Open,
                 Values.at(Text.substr(Open + 2, Close - Open - 2)));
  }
  return Text;
}

// The words of "run" in the deploy file, with the settings file of this run.
std::vector<std::string> readCommand(const std::string &Settings) {
  std::istringstream Lines(readFile("deploy/system.toml"));
  std::vector<std::string> Words;
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("run = \""))
      continue;
    std::istringstream Command(Line.substr(7, Line.rfind('"') - 7));
    for (std::string Word; Command >> Word;)
      Words.push_back(Word.starts_with("--settings=") ? "--settings=" + Settings
                                                      : Word);
  }
  return Words;
}

[[noreturn]] void runCommand(std::vector<std::string> Words,
                             const std::string &Log,
                             const std::string &Settings) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  ::setenv("CURRANTGAUGE_NODE_FILE", Settings.c_str(), 1);
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  ::execv(Arguments[0], Arguments.data());
  ::_exit(127);
}

} // namespace

void openLab(Lab &Bench, const std::string &CaseFolder,
             std::chrono::seconds Limit) {
  ::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  Bench.Trouble = !Trouble || std::string(Trouble) != "0";
  std::string Folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(Folder.data()))
    std::exit(CouldNotRun);
  Bench.Folder = Folder;
  Bench.Record.open(CaseFolder + "/record.txt");
  std::thread([Folder, Limit] {
    std::this_thread::sleep_for(Limit);
    std::cerr << "the case took too long\n";
    std::filesystem::remove_all(Folder);
    ::_exit(CouldNotRun);
  }).detach();
  note(Bench, Bench.Trouble ? "run with the disruption"
                            : "run without the disruption (TROUBLE=0)");
}

double secondsOf(const Lab &Bench, Clock::time_point Time) {
  return std::chrono::duration<double>(Time - Bench.Start).count();
}

void note(Lab &Bench, const std::string &Text) {
  std::lock_guard<std::mutex> Guard(Bench.Lock);
  Bench.Record << std::fixed << std::setprecision(3) << std::setw(7)
               << secondsOf(Bench, Clock::now()) << " " << Text << std::endl;
}

void closeLab(Lab &Bench, int ExitCode) {
  note(Bench, ExitCode == RuleHeld     ? "the rule held"
              : ExitCode == RuleBroken ? "the rule was broken"
                                       : "the case could not run");
  std::cout << "exit " << ExitCode << std::endl;
  if (std::getenv("KEEP_LOGS"))
    std::cout << "logs in " << Bench.Folder << std::endl;
  else
    std::filesystem::remove_all(Bench.Folder);
  ::_exit(ExitCode); // ends the nodes as well, see runCommand()
}

void startStore(Store &Platform) {
  int Listener = openListener("127.0.0.1", 0, Platform.Address);
  std::thread([&Platform, Listener] {
    int Fd = -1;
    while ((Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
      std::lock_guard<std::mutex> Guard(Platform.Lock);
      std::thread(serveStoreCalls, std::ref(Platform), Fd,
                  Platform.Connections++)
          .detach();
    }
  }).detach();
}

void writeConfig(Store &Platform, const json &Document) {
  std::lock_guard<std::mutex> Guard(Platform.Lock);
  ++Platform.Version;
  Platform.Rows[{"op", "config"}] =
      StoreRow{encodeBase64(Document.dump()), Platform.Version};
  Platform.Log.push_back({Platform.Version, {"op", "config"}});
  Platform.Changed.notify_all();
}

std::uint64_t silenceOpenConnections(Store &Platform) {
  std::lock_guard<std::mutex> Guard(Platform.Lock);
  return Platform.SilentBelow = Platform.Connections;
}

json makeRoute(const std::string &Prefix, const std::string &Service,
               const std::string &Kind) {
  return {{"host", RoutesHost}, {"pathPrefix", Prefix}, {"kind", Kind},
          {"service", Service}, {"timeoutMs", 4000},    {"aimMs", 1200},
          {"priority", 1},      {"attempts", 2}};
}

json makeDocument(const std::string &Version, const json &Routes,
                  const std::vector<std::string> &Services) {
  json Table = json::object();
  for (const std::string &Name : Services)
    Table[Name] = {{"healthCheckPath", "/health"},
                   {"connectionLimit", 330},
                   {"protocol", "h1"},
                   {"tls", false}};
  return {{"version", Version},
          {"routes", Routes},
          {"services", Table},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

namespace {

void serveTarget(Target &Server, const std::string &Host, std::uint16_t Port) {
  int Listener = openListener(Host, Port, Server.Address);
  {
    std::lock_guard<std::mutex> Guard(Server.Lock);
    Server.Listener = Listener;
    Server.Ended = false;
  }
  Server.Sequence = 0;
  Server.Born = std::chrono::duration_cast<Millis>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  std::thread([&Server, Listener] {
    int Fd = -1;
    while ((Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
      std::lock_guard<std::mutex> Guard(Server.Lock);
      Server.OpenSockets.push_back(Fd);
      std::thread(serveCalls, std::ref(Server), Fd).detach();
    }
    ::close(Listener);
  }).detach();
}

} // namespace

void startTarget(Target &Server, const std::string &Host) {
  serveTarget(Server, Host, 0);
}

bool isEnded(Target &Server) {
  std::lock_guard<std::mutex> Guard(Server.Lock);
  return Server.Ended;
}

void restartTarget(Target &Server) {
  std::size_t Colon = Server.Address.rfind(':');
  serveTarget(Server, Server.Address.substr(0, Colon),
              static_cast<std::uint16_t>(
                  std::atoi(Server.Address.c_str() + Colon + 1)));
}

void endTarget(Target &Server) {
  std::lock_guard<std::mutex> Guard(Server.Lock);
  Server.Ended = true;
  ::shutdown(Server.Listener, SHUT_RDWR);
  for (int Fd : Server.OpenSockets)
    ::shutdown(Fd, SHUT_RDWR);
}

std::vector<Run> runsOf(Target &Server) {
  std::lock_guard<std::mutex> Guard(Server.Lock);
  return Server.Runs;
}

std::string makeHeartbeat(Target &Server, const std::string &State) {
  json Body{{"born", Server.Born},
            {"address", Server.Address},
            {"information",
             {{"service", Server.Service},
              {"version", "v1"},
              {"zone", "north-a"},
              {"slots", Server.Slots}}},
            {"status",
             {{"state", State},
              {"sequence", ++Server.Sequence},
              {"coldRemainingMs", 0}}}};
  return formatPing("heartbeat", Server.Id, Body);
}

std::string makeDeregistration(const Target &Server) {
  return formatPing("deregister", Server.Id, {{"born", Server.Born}});
}

int sendPing(const std::string &Control, const std::string &Ping) {
  Connection Link{openConnection(Control, PingTimeout), ""};
  if (Link.Fd < 0)
    return 0;
  HttpMessage Answer;
  bool Answered = writeAll(Link.Fd, Ping) &&
                  readMessage(Link, Answer, Clock::now() + PingTimeout);
  ::close(Link.Fd);
  return Answered ? statusOf(Answer) : 0;
}

std::string newHost() {
  static int Count = 0;
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(100 + Process / 200 % 100) + "." +
         std::to_string(1 + Process % 200) + "." + std::to_string(++Count);
}

Node makeNode(const Store &Platform, const std::string &Host,
              const NodeParams &Params) {
  Node Process;
  Process.Name = Params.Name;
  Process.Host = Host;
  auto Address = [&] {
    return Host + ":" + std::to_string(findFreePort(Host));
  };
  Process.Outbound = Address();
  Process.Control = Address();
  Process.Ready = Address();
  Process.Values = {
      {"node", Params.Name},
      {"region", "north"},
      {"zone", Params.Zone},
      {"service", Params.Service},
      {"application", Params.Application},
      {"listen.outbound", Process.Outbound},
      {"listen.inbound", Address()},
      {"listen.control", Process.Control},
      {"listen.ready", Process.Ready},
      {"ipAddress", Host},
      {"internalPortRange.0", std::to_string(findFreePort("127.0.0.1"))},
      {"platform.address", Platform.Address},
      {"bounds.gracePeriodS", "6"},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.retryBudgetSlack", "56"},
      {"bounds.budgetWindowS", "10"}};
  return Process;
}

void startNode(Lab &Bench, Node &Process, FirstStart Bootstrap) {
  Process.Values["bootstrap"] = Bootstrap == FirstStart::Yes ? "true" : "false";
  std::string Settings = Bench.Folder + "/" + Process.Name + ".yaml";
  std::ofstream(Settings) << fillTemplate(readFile("deploy/settings.yaml.tmpl"),
                                          Process.Values);
  std::string Log = Bench.Folder + "/" + Process.Name + "-" +
                    std::to_string(++Process.Starts) + ".log";
  std::vector<std::string> Command = readCommand(Settings);
  if (Command.empty() || ::access(Command[0].c_str(), X_OK) != 0) {
    std::cerr << "the program of the deploy file is not built\n";
    closeLab(Bench, CouldNotRun);
  }
  Process.Pid = ::fork();
  if (Process.Pid == 0)
    runCommand(Command, Log, Settings);
  note(Bench, Process.Name + " started");
}

void killNode(Node &Process) {
  ::kill(Process.Pid, SIGKILL);
  ::waitpid(Process.Pid, nullptr, 0);
  Process.Pid = -1;
}

bool isRunning(const Node &Process) {
  return Process.Pid > 0 && ::waitpid(Process.Pid, nullptr, WNOHANG) == 0;
}

bool isReady(const Node &Process) {
  Connection Link{openConnection(Process.Ready, PingTimeout), ""};
  if (Link.Fd < 0)
    return false;
  HttpMessage Answer;
  bool Answered =
      writeAll(Link.Fd, "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
      readMessage(Link, Answer, Clock::now() + PingTimeout);
  ::close(Link.Fd);
  return Answered && statusOf(Answer) == 200;
}

bool waitReady(const Node &Process) {
  return waitUntil([&] { return isReady(Process); }, Millis(15000));
}

void startFleet(Lab &Bench, Fleet &All,
                const std::vector<MachineParams> &Machines,
                Millis PingInterval) {
  startStore(All.Platform);
  for (const MachineParams &Params : Machines) {
    std::string Number = std::to_string(All.Servers.size() + 1);
    std::string Host = newHost();
    Target &Server = All.Servers.emplace_back();
    Server.Id = "i-" + Number;
    Server.Service = Params.Service;
    Server.Slots = Params.Slots;
    startTarget(Server, Host);
    All.Nodes.push_back(
        makeNode(All.Platform, Host,
                 {"n" + Number, Params.Service, Params.Zone, Server.Address}));
  }
  for (std::size_t I = 0; I < All.Nodes.size(); ++I) {
    startNode(Bench, All.Nodes[I], FirstStart::Yes);
    std::thread([&Server = All.Servers[I], Control = All.Nodes[I].Control,
                 PingInterval] {
      while (true) {
        if (Server.SendsPings && !isEnded(Server))
          sendPing(Control, makeHeartbeat(Server, "ready"));
        std::this_thread::sleep_for(PingInterval);
      }
    }).detach();
  }
}

bool allReady(const Fleet &All) {
  return std::all_of(All.Nodes.begin(), All.Nodes.end(), waitReady);
}

std::string newAttemptId() {
  static std::atomic<int> Count{0};
  return "c" + std::to_string(::getpid()) + "-" + std::to_string(++Count);
}

std::string formatRequest(const Request &Sent, const std::string &Attempt) {
  return formatMessage({Sent.Method + " " + Sent.Path + " HTTP/1.1",
                        {{"Host", RoutesHost},
                         {"Currantgauge-Attempt-Id", Attempt},
                         {"Currantgauge-Deadline-Milliseconds",
                          std::to_string(Sent.DeadlineMillis)}},
                        Sent.Body});
}

Answer sendRequest(const Node &Entry, const Request &Sent) {
  Answer Result;
  Result.Attempt = newAttemptId();
  Result.SentAt = Clock::now();
  Connection Link{openConnection(Entry.Outbound, PingTimeout), ""};
  if (Link.Fd < 0)
    return Result;
  HttpMessage Message;
  if (writeAll(Link.Fd, formatRequest(Sent, Result.Attempt)) &&
      readMessage(Link, Message,
                  Clock::now() + Millis(Sent.DeadlineMillis + 1000))) {
    Result.Status = statusOf(Message);
    Result.Body = Message.Body;
  }
  ::close(Link.Fd);
  return Result;
}

void sleepUntil(Clock::time_point Time) { std::this_thread::sleep_until(Time); }

} // namespace currantgauge::review
