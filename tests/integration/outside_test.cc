// Crowds of callers that send without end, or stop short of an end, to a node
// with little memory.
#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr std::size_t BodyLimit = 4 * MiB;
constexpr std::size_t ShortOfEnd = 64 * KiB;
constexpr std::size_t OrdinaryBytes = 100 * KiB;
constexpr std::size_t FieldBytes = 1000;
const std::string LowLimits = "limits: {memory: 48MiB, body: 4MiB}\n";
// limits.memory, and what a node that serves nobody has.
constexpr std::size_t PeakLimitKiB = (48 + 24) * KiB;
constexpr std::size_t DescriptorLimit = 256;
// A crowd whose bytes the node no longer takes stops sending.
constexpr std::chrono::seconds StallLimit{3};
constexpr std::chrono::seconds SendLimit{40};

// Crowd is a number of callers that each send Start and then repeat Piece, up
// to PieceBytes in all. They read nothing and stay connected.
struct Crowd {
  std::size_t Callers = 64;
  std::string Start;
  std::string Piece;
  std::size_t PieceBytes = 0;
  bool IsWhole = false; // the requests end, so that some can be served
};

struct Caller {
  tcp::socket Socket;
  std::size_t Sent = 0;
  bool Ended = false;
};

std::string makeBytes(std::size_t Size) { return std::string(Size, 'x'); }

std::size_t peakKiB(const NodeProcess &Node) {
  std::ifstream File("/proc/" + std::to_string(processId(Node.Process)) +
                     "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::strtoul(Line.c_str() + 6, nullptr, 10);
  return 0;
}

std::size_t countDescriptors(const NodeProcess &Node) {
  std::error_code Ignored;
  std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(processId(Node.Process)) + "/fd", Ignored);
  return static_cast<std::size_t>(std::distance(begin(Entries), end(Entries)));
}

// Sends what the connection takes now, at most one piece. Returns whether a
// byte was sent.
bool sendSome(Caller &Sender, const Crowd &Kind) {
  std::size_t Start = Kind.Start.size();
  bool InStart = Sender.Sent < Start;
  const std::string &Text = InStart ? Kind.Start : Kind.Piece;
  std::size_t Offset =
      InStart ? Sender.Sent : (Sender.Sent - Start) % Kind.Piece.size();
  std::size_t Size =
      std::min(Text.size() - Offset, Start + Kind.PieceBytes - Sender.Sent);
  boost::system::error_code Error;
  std::size_t Written =
      Sender.Socket.write_some(asio::buffer(Text.data() + Offset, Size), Error);
  Sender.Sent += Written;
  Sender.Ended = Sender.Sent >= Start + Kind.PieceBytes ||
                 (Error && Error != asio::error::would_block);
  return Written > 0;
}

std::vector<Caller> connectCrowd(asio::io_context &Io, const NodeProcess &Node,
                                 std::size_t Count) {
  std::vector<Caller> Callers;
  for (std::size_t I = 0; I < Count; ++I) {
    Callers.push_back(Caller{tcp::socket(Io)});
    Callers.back().Socket.connect(stand_ins::parseEndpoint(Node.CallerAddress));
    Callers.back().Socket.non_blocking(true);
  }
  return Callers;
}

// Returns the largest number of descriptors that the node had meanwhile.
std::size_t sendCrowd(std::vector<Caller> &Callers, const Crowd &Kind,
                      const NodeProcess &Node) {
  std::size_t Descriptors = 0;
  auto Begin = Clock::now();
  auto LastSent = Begin;
  auto IsOver = [&] {
    return Clock::now() - Begin > SendLimit ||
           Clock::now() - LastSent > StallLimit ||
           std::all_of(Callers.begin(), Callers.end(),
                       [](const Caller &Sender) { return Sender.Ended; });
  };
  while (!IsOver()) {
    bool Sent = false;
    for (Caller &Sender : Callers)
      Sent = (!Sender.Ended && sendSome(Sender, Kind)) || Sent;
    if (Sent) {
      LastSent = Clock::now();
      continue;
    }
    Descriptors = std::max(Descriptors, countDescriptors(Node));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return std::max(Descriptors, countDescriptors(Node));
}

void checkNode(const NodeProcess &Node) {
  CAPTURE(Node.Name);
  CHECK(std::filesystem::exists("/proc/" +
                                std::to_string(processId(Node.Process))));
  std::size_t Peak = peakKiB(Node);
  MESSAGE(Node.Name << " peaked at " << Peak << " KiB");
  CHECK(Peak > 0);
  CHECK(Peak < PeakLimitKiB);
}

// Returns how many callers have an answer with status 200.
std::size_t countServed(std::vector<Caller> &Callers) {
  const std::string Served = "HTTP/1.1 200";
  std::size_t Count = 0;
  for (Caller &Receiver : Callers) {
    std::string Text(Served.size(), '\0');
    boost::system::error_code Error;
    Receiver.Socket.receive(asio::buffer(Text), tcp::socket::message_peek,
                            Error);
    Count += !Error && Text == Served ? 1 : 0;
  }
  return Count;
}

// Plays a crowd against the first node. An ordinary caller comes while the
// crowd is still connected.
void playCrowd(const TestFleet &Fleet, const Crowd &Kind) {
  const NodeProcess &Entry = Fleet.Nodes.front();
  asio::io_context Io;
  std::vector<Caller> Callers = connectCrowd(Io, Entry, Kind.Callers);
  CHECK(sendCrowd(Callers, Kind, Entry) < DescriptorLimit);
  CHECK(waitUntil([&] {
    auto Answer = sendRequest(Entry.CallerAddress, "POST", "/commits/9",
                              makeBytes(OrdinaryBytes));
    return Answer && Answer->Status == 200;
  }));
  if (Kind.IsWhole)
    CHECK(waitUntil([&] { return countServed(Callers) > 0; }));
  for (const NodeProcess &Node : Fleet.Nodes)
    checkNode(Node);
}

// The only backend server belongs to the last node.
void startNodes(TestFleet &Fleet, int Count) {
  for (int I = 0; I < Count; ++I)
    startNode(Fleet, "node-" + std::to_string(I + 1), "north", "north-a",
              LowLimits);
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes.back(),
              {"--answer_bytes=65536"});
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
}

void playAtOneNode(const Crowd &Kind) {
  TestFleet Fleet;
  startNodes(Fleet, 1);
  playCrowd(Fleet, Kind);
}

const std::string Post = "POST /commits/9 HTTP/1.1\r\nHost: a\r\n";
const std::string ChunkedPost = Post + "Transfer-Encoding: chunked\r\n\r\n";

std::string postOf(std::size_t BodyBytes) {
  return Post + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

std::string makeField() {
  return "Field: " + std::string(FieldBytes, 'x') + "\r\n";
}

Crowd wholeBodies() {
  return {64, postOf(BodyLimit), makeBytes(BodyLimit), BodyLimit, true};
}

Crowd cutBodies() {
  return {64, postOf(BodyLimit), makeBytes(BodyLimit), BodyLimit - ShortOfEnd};
}

Crowd bodiesInPieces() {
  return {64, postOf(BodyLimit), makeBytes(8 * KiB), BodyLimit - ShortOfEnd};
}

Crowd bodiesInLargeChunks() {
  std::string Chunk = "80000\r\n" + makeBytes(512 * KiB) + "\r\n";
  return {64, ChunkedPost, Chunk, 8 * Chunk.size()};
}

Crowd bodiesInOneChunk() {
  return {64, ChunkedPost + "400000\r\n", makeBytes(64 * KiB),
          BodyLimit - ShortOfEnd};
}

Crowd bodiesInSmallChunks() {
  constexpr std::size_t Chunks = 256 * KiB;
  const std::string Chunk = "1\r\nx\r\n";
  std::string Piece;
  for (std::size_t I = 0; I < KiB; ++I)
    Piece += Chunk;
  return {64, ChunkedPost, Piece, Chunks * Chunk.size()};
}

} // namespace

TEST_CASE("outside: trailer fields without end") {
  playAtOneNode({16, ChunkedPost + "1\r\nx\r\n0\r\n", makeField(), 8 * MiB});
}

TEST_CASE("outside: a trailer line without end") {
  playAtOneNode({16, ChunkedPost + "1\r\nx\r\n0\r\nField: ",
                 makeBytes(64 * KiB), 8 * MiB});
}

TEST_CASE("outside: a chunk extension without end") {
  playAtOneNode({16, ChunkedPost + "1;name=", makeBytes(64 * KiB), 8 * MiB});
}

TEST_CASE("outside: whole bodies") { playAtOneNode(wholeBodies()); }

TEST_CASE("outside: bodies that stop short of their end") {
  playAtOneNode(cutBodies());
}

TEST_CASE("outside: bodies in pieces that stop short of their end") {
  playAtOneNode(bodiesInPieces());
}

TEST_CASE("outside: bodies in large chunks without a last chunk") {
  playAtOneNode(bodiesInLargeChunks());
}

TEST_CASE("outside: bodies in one chunk that stops short of its end") {
  playAtOneNode(bodiesInOneChunk());
}

TEST_CASE("outside: bodies in chunks of one byte without a last chunk") {
  playAtOneNode(bodiesInSmallChunks());
}

// What a crowd left behind added to the memory of the next one.
TEST_CASE("outside: crowds with bodies that come one after the other") {
  TestFleet Fleet;
  startNodes(Fleet, 1);
  for (const Crowd &Kind :
       {wholeBodies(), cutBodies(), bodiesInPieces(), bodiesInLargeChunks(),
        bodiesInOneChunk(), bodiesInSmallChunks()})
    playCrowd(Fleet, Kind);
}

TEST_CASE("outside: heads without end") {
  playAtOneNode({64, Post, makeField(), MiB});
}

TEST_CASE("outside: pipelines whose answers nobody reads") {
  const std::string Get = "GET /lists/7 HTTP/1.1\r\nHost: a\r\n\r\n";
  playAtOneNode({64, Get, Get, 4 * KiB * Get.size()});
}

TEST_CASE("outside: whole bodies that cross two nodes") {
  TestFleet Fleet;
  startNodes(Fleet, 2);
  playCrowd(Fleet, wholeBodies());
}

} // namespace currantgauge::integration
