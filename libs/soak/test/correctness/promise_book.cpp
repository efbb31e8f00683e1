// Each promise that is broken on purpose is noticed, and a sound run breaks none.
#include <boost/test/unit_test.hpp>

#include "soak/promise_book.h"

using namespace sycamorewinch;

namespace {

auto answered(const std::string& key) -> call_record
{
    return {.key_ = key, .status_ = 200, .body_ = "dialer d1 1 POST /dialer/" + key + " \n"};
}

auto refused(const std::string& key, const std::string& outcome) -> call_record
{
    return {.key_ = key, .status_ = 503, .refusal_ = "target_full", .outcome_ = outcome};
}

void begin_all(promise_book& book)
{
    for (const auto* key : {"a", "b", "c"}) {
        book.note_begin(key, false);
    }
    book.note_begin("d", true);
    book.note_begin("e", true); // never ends
}

/** A run in which all is well. */
auto sound_run() -> promise_book
{
    promise_book book;
    begin_all(book);
    book.note_end(answered("a"));
    book.note_run("a");
    book.note_end(refused("b", "not-run"));
    book.note_end(refused("c", "unknown"));
    book.note_run("c");
    book.note_end(answered("d"));
    book.note_run("d");
    book.note_run("d");
    book.note_run("e");
    book.note_version("node-1", 2);
    book.note_version("node-1", 3);
    book.note_accepted("edit-1", 3);
    book.note_accepted("edit-1", 3);
    book.note_last_read(3);
    return book;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_sound_run_breaks_nothing)
{
    BOOST_TEST(sound_run().broken().empty());
    BOOST_TEST(sound_run().counts().answered_ == 2U);
    BOOST_TEST(sound_run().counts().refused_not_run_ == 1U);
}

BOOST_AUTO_TEST_CASE(each_broken_promise_is_noticed)
{
    const std::vector<std::function<void(promise_book&)>> breaks{
        [](auto& book) { book.note_run("a"); },
        [](auto& book) { book.note_run("b"); },
        [](auto& book) { book.note_run("nobody"); },
        [](auto& book) {
            auto other = answered("e");
            other.body_ = answered("f").body_;
            book.note_end(other);
        },
        [](auto& book) { book.note_version("node-1", 2); },
        [](auto& book) { book.note_accepted("edit-2", 3); },
        [](auto& book) { book.note_accepted("edit-3", 4); },
    };
    for (const auto& break_promise : breaks) {
        auto book = sound_run();
        break_promise(book);
        BOOST_TEST(book.broken().size() == 1U);
    }
}
