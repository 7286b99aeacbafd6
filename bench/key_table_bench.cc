// Measures the table of keys at 240,000 workspaces with two keys each: the time
// of a look-up, of hashing a key and of a version that moves one key, and the
// memory.
//
//   ./build/key_table_bench
#include "currantgauge/identity/key_hash.h"
#include "currantgauge/identity/key_table.h"

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace currantgauge::identity {
namespace {

constexpr int Workspaces = 240'000;
constexpr int KeysPerWorkspace = 2;
constexpr int Lookups = 2'000'000;
constexpr int Versions = 1000;

using Clock = std::chrono::steady_clock;

double nanosSince(Clock::time_point Start, int Count) {
  return std::chrono::duration<double, std::nano>(Clock::now() - Start)
             .count() /
         Count;
}

std::string makeKey(int Workspace, int Key) {
  return "key-" + std::to_string(Workspace) + "-" + std::to_string(Key);
}

base::WorkspaceName makeName(int Workspace) {
  return base::WorkspaceName("workspace-" + std::to_string(Workspace));
}

std::vector<base::KeyHash> fillTable(KeyTable &Table) {
  std::vector<base::KeyHash> Hashes;
  for (int Workspace = 0; Workspace < Workspaces; ++Workspace)
    for (int Key = 0; Key < KeysPerWorkspace; ++Key) {
      Hashes.push_back(hashKey(makeKey(Workspace, Key)));
      insertKey(Table, Hashes.back(), makeName(Workspace));
    }
  return Hashes;
}

double measureLookup(const KeyTable &Table,
                     const std::vector<base::KeyHash> &Hashes,
                     std::size_t &Found) {
  // A stride that is prime to the count spreads the look-ups over the table.
  constexpr std::size_t Stride = 7919;
  auto Start = Clock::now();
  std::size_t Index = 0;
  for (int Count = 0; Count < Lookups; ++Count) {
    Index = (Index + Stride) % Hashes.size();
    Found += findByKey(Table, Hashes[Index]) ? 1 : 0;
  }
  return nanosSince(Start, Lookups);
}

double measureHash(std::size_t &Sum) {
  const std::string Key = makeKey(1234, 1);
  auto Start = Clock::now();
  for (int Count = 0; Count < Lookups; ++Count)
    Sum += hashKey(Key).Low & 1;
  return nanosSince(Start, Lookups);
}

double measureVersion(KeyTable Table,
                      const std::vector<base::KeyHash> &Hashes) {
  auto Start = Clock::now();
  for (int Version = 0; Version < Versions; ++Version) {
    KeyTable Next = Table;
    eraseKey(Next, Hashes[Version], makeName(Version / KeysPerWorkspace));
    insertKey(Next, Hashes[Version], makeName(Workspaces));
    Table = Next;
  }
  return nanosSince(Start, Versions);
}

} // namespace

int runBenchmark() {
  KeyTable Table;
  std::size_t Before = mallinfo2().uordblks;
  std::vector<base::KeyHash> Hashes = fillTable(Table);
  std::size_t Bytes =
      mallinfo2().uordblks - Before - Hashes.capacity() * sizeof(base::KeyHash);
  std::size_t Found = 0;
  std::size_t Sum = 0;
  std::printf("keys %zu, %.1f MiB\n", countKeys(Table),
              static_cast<double>(Bytes) / (1024 * 1024));
  std::printf("look-up %.0f ns\n", measureLookup(Table, Hashes, Found));
  std::printf("hash of a key %.0f ns\n", measureHash(Sum));
  std::printf("version that moves one key %.1f us\n",
              measureVersion(Table, Hashes) / 1000);
  return Found == static_cast<std::size_t>(Lookups) ? 0 : 1;
}

} // namespace currantgauge::identity

int main() { return currantgauge::identity::runBenchmark(); }
