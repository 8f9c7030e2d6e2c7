#ifndef RHUBARBRUN_SRC_TRANSPORT_TARGET_ANSWER_HPP
#define RHUBARBRUN_SRC_TRANSPORT_TARGET_ANSWER_HPP

#include <libpq-fe.h>

#include <cstddef>
#include <string>

namespace rhubarbrun::detail {

/// The answer to one statement: results of libpq, encoded as the backend
/// messages that they were received as.
class target_answer
{
public:
    /// `max_bytes` bounds the encoded answer.
    explicit target_answer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Whether the limit was reached; the answer is empty from then on.
    [[nodiscard]] auto is_too_large() const noexcept -> bool;
    /// Whether an ErrorResponse of the target was added.
    [[nodiscard]] auto has_error() const noexcept -> bool;
    /// SQLSTATE of the last ErrorResponse; empty without one.
    [[nodiscard]] auto error_code() const noexcept -> const std::string&;

    [[nodiscard]] auto max_bytes() const noexcept -> std::size_t;

    /// Applies to what is added from now on.
    auto set_max_bytes(std::size_t limit) noexcept -> void;
    auto clear() -> void;
    /// Moves the encoded messages out.
    [[nodiscard]] auto take() -> std::string;
    auto add_notice(const PGresult* result) -> void;
    /// One row of a result set, or its end.
    auto add_rows(const PGresult* result) -> void;
    auto add_command(const PGresult* result) -> void;
    auto add_empty_query() -> void;
    /// Parameter and row descriptions of a prepared statement.
    auto add_description(const PGresult* result) -> void;
    auto add_error(const PGresult* result) -> void;

private:
    std::size_t max_bytes_;
    std::string bytes_;
    std::string error_code_;
    /// The present result set has its RowDescription.
    bool has_description_ = false;
    bool has_error_ = false;
    bool is_too_large_ = false;
};

} // namespace rhubarbrun::detail

#endif
