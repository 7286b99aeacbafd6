// Iterates over the fields of an aggregate with at most 20 fields, which lets
// the journal encode every event and effect without code per type.
//
//   forEachField(Event, [](auto &Field) { ... });
#ifndef CURRANTGAUGE_RUNTIME_FIELDS_H
#define CURRANTGAUGE_RUNTIME_FIELDS_H

#include <cstddef>
#include <type_traits>
#include <utility>

namespace currantgauge::runtime {

namespace detail {

// AnyField converts to the type of any field. Used in unevaluated expressions
// only.
struct AnyField {
  template <typename T> constexpr operator T() const noexcept;
};

template <typename T, std::size_t... I>
constexpr bool isInitializableWith(std::index_sequence<I...>) {
  return requires { T{(static_cast<void>(I), AnyField{})...}; };
}

// One more than supported, to detect aggregates with too many fields.
constexpr std::size_t MaxProbedFields = 21;

// countFields() returns the largest number of initializers, up to N, that T can
// be initialized with.
template <typename T, std::size_t N = MaxProbedFields>
constexpr std::size_t countFields() {
  if constexpr (N == 0)
    return 0;
  else if constexpr (isInitializableWith<T>(std::make_index_sequence<N>()))
    return N;
  else
    return countFields<T, N - 1>();
}

} // namespace detail

// forEachField() calls Callback on each field of an aggregate with at most 20
// fields, in the order of declaration.
template <typename T, typename F> void forEachField(T &Value, F Callback) {
  constexpr std::size_t N = detail::countFields<std::remove_const_t<T>>();
  static_assert(N < detail::MaxProbedFields,
                "too many fields for forEachField");
  if constexpr (N == 1) {
    auto &[A] = Value;
    Callback(A);
  } else if constexpr (N == 2) {
    auto &[A, B] = Value;
    Callback(A), Callback(B);
  } else if constexpr (N == 3) {
    auto &[A, B, C] = Value;
    Callback(A), Callback(B), Callback(C);
  } else if constexpr (N == 4) {
    auto &[A, B, C, D] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D);
  } else if constexpr (N == 5) {
    auto &[A, B, C, D, E] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E);
  } else if constexpr (N == 6) {
    auto &[A, B, C, D, E, G] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G);
  } else if constexpr (N == 7) {
    auto &[A, B, C, D, E, G, H] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H);
  } else if constexpr (N == 8) {
    auto &[A, B, C, D, E, G, H, I] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
  } else if constexpr (N == 9) {
    auto &[A, B, C, D, E, G, H, I, J] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J);
  } else if constexpr (N == 10) {
    auto &[A, B, C, D, E, G, H, I, J, K] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K);
  } else if constexpr (N == 11) {
    auto &[A, B, C, D, E, G, H, I, J, K, L] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L);
  } else if constexpr (N == 12) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M);
  } else if constexpr (N == 13) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O);
  } else if constexpr (N == 14) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P);
  } else if constexpr (N == 15) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q);
  } else if constexpr (N == 16) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q), Callback(R);
  } else if constexpr (N == 17) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q), Callback(R);
    Callback(S);
  } else if constexpr (N == 18) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q), Callback(R);
    Callback(S), Callback(T0);
  } else if constexpr (N == 19) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0, U] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q), Callback(R);
    Callback(S), Callback(T0), Callback(U);
  } else if constexpr (N == 20) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0, U, V] = Value;
    Callback(A), Callback(B), Callback(C), Callback(D), Callback(E),
        Callback(G), Callback(H), Callback(I);
    Callback(J), Callback(K), Callback(L), Callback(M), Callback(O),
        Callback(P), Callback(Q), Callback(R);
    Callback(S), Callback(T0), Callback(U), Callback(V);
  }
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_FIELDS_H
