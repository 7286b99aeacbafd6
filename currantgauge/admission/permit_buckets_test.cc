#include "currantgauge/admission/permit_buckets.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace currantgauge::admission {

TEST_CASE("requests refused together return within ten seconds") {
  PermitBuckets Table;
  BucketStart Start{base::TimePoint{1000000}, true};
  FleetLimit Limit{2, 1};
  PermitAsk Ask{{1, 1}, base::WorkspaceName("orchard"), 100, {}, {}, 0};
  for (int Round = 0; Round < 3; ++Round) {
    ++Ask.Id.Sequence;
    PermitAnswer Answer = takePermits(Table, Ask, Limit, Start, Start.Time);
    std::uint32_t Refused = Ask.Count - Answer.Granted;
    CHECK(Answer.RetryAfter >= base::milliseconds(500));
    CHECK(Answer.RetryStep >= base::milliseconds(90));
    CHECK(Answer.RetryAfter + Answer.RetryStep * (Refused - 1) <=
          base::seconds(10));
  }
}

TEST_CASE("repeats of an ask renew the memory of its answer") {
  PermitBuckets Table;
  BucketStart Start{base::TimePoint{1000000}, true};
  FleetLimit Limit{1, 10};
  PermitAsk Ask{{1, 1}, base::WorkspaceName("orchard"), 1, {}, {}, 0};
  base::TimePoint Now = Start.Time;
  for (int Repeat = 0; Repeat < 6; ++Repeat) {
    takePermits(Table, Ask, Limit, Start, Now);
    Now = Now + base::seconds(2);
  }
  takePermits(Table, {{1, 2}, Ask.Workspace, 1, {}, {}, 0}, Limit, Start, Now);
  CHECK(Table.Answers.size() == 2);
  CHECK(countPermits(Table, Ask.Workspace, Limit, Start, Now) == 9);
  Now = Now + base::seconds(4);
  takePermits(Table, {{1, 3}, Ask.Workspace, 1, {}, {}, 0}, Limit, Start, Now);
  CHECK(Table.Answers.size() == 1);
  CHECK(Table.AnswersByTime.size() == 1);
}

TEST_CASE("a home keeps the buckets of active workspaces only") {
  PermitBuckets Table;
  FleetLimit Limit{20, 20};
  BucketStart Start{base::TimePoint{1000000}, true};
  base::TimePoint Now = Start.Time;
  std::size_t Largest = 0;
  for (std::uint64_t I = 0; I < 240000; ++I) {
    PermitAsk Ask{{1, I}, base::WorkspaceName(std::to_string(I)), 1, {}, {}, 0};
    CHECK(takePermits(Table, Ask, Limit, Start, Now).Granted == 1);
    Now = Now + base::milliseconds(1);
    Largest = std::max(Largest, Table.Buckets.size());
  }
  CHECK(Largest <= 51);
  CHECK(Table.Answers.size() <= 3001);
}

TEST_CASE("a bucket of an earlier time as the home isn't used") {
  PermitBuckets Table;
  base::WorkspaceName Name("orchard");
  FleetLimit Limit{1, 100};
  BucketStart First{base::TimePoint{1000000}, true};
  takePermits(Table, {{1, 1}, Name, 10, {}, {}, 0}, Limit, First, First.Time);
  CHECK(countPermits(Table, Name, Limit, First, First.Time) == 90);
  BucketStart Second{First.Time + base::seconds(5), false};
  CHECK(countPermits(Table, Name, Limit, Second, Second.Time) < 10);
}

TEST_CASE("refused requests are told to return one after the other") {
  PermitBuckets Table;
  BucketStart Start{base::TimePoint{1000000}, true};
  PermitAsk Ask{{1, 1}, base::WorkspaceName("orchard"), 3, {}, {}, 0};
  FleetLimit Limit{2, 1};
  PermitAnswer First = takePermits(Table, Ask, Limit, Start, Start.Time);
  CHECK(First.Granted == 1);
  CHECK(First.RetryAfter == base::milliseconds(500));
  CHECK(First.RetryStep == base::milliseconds(500));
  Ask.Id.Sequence = 2;
  PermitAnswer Second = takePermits(Table, Ask, Limit, Start, Start.Time);
  CHECK(Second.Granted == 0);
  CHECK(Second.RetryAfter == base::milliseconds(1500));
}

TEST_CASE("a repeated ask takes no second permit") {
  PermitBuckets Table;
  BucketStart Start{base::TimePoint{1000000}, true};
  FleetLimit Limit{1, 1};
  PermitAsk Ask{{1, 1}, base::WorkspaceName("orchard"), 1, {}, {}, 0};
  CHECK(takePermits(Table, Ask, Limit, Start, Start.Time).Granted == 1);
  CHECK(takePermits(Table, Ask, Limit, Start, Start.Time).Granted == 1);
  Ask.Id.Sequence = 2;
  CHECK(takePermits(Table, Ask, Limit, Start, Start.Time).Granted == 0);
}

} // namespace currantgauge::admission
