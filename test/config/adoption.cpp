// The revision in force never decreases, whatever is offered.
#include <skylark/config/adoption.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

std::string text_of(const std::string& change) {
    document out;
    out.m_change_id = change;
    return format_document(out);
}

template <class Kind>
bool is(const adoption_result& result) {
    return std::holds_alternative<Kind>(result);
}

} // namespace

TEST(adoption, never_reverts) {
    config_adoption subject;
    EXPECT_TRUE(is<adopted>(subject.offer(5, text_of("five"))));
    EXPECT_TRUE(is<reverted>(subject.offer(4, text_of("four"))));
    EXPECT_TRUE(is<unchanged>(subject.offer(5, text_of("other"))));
    EXPECT_EQ(subject.current().m_change_id, "five");
    EXPECT_TRUE(is<adopted>(subject.offer(9, text_of("nine"))));
    EXPECT_EQ(subject.revision(), 9U);
}

TEST(adoption, keeps_the_last_valid_document) {
    config_adoption subject;
    subject.offer(5, text_of("five"));
    EXPECT_TRUE(is<refused>(subject.offer(6, "{\"zones\": 1}")));
    EXPECT_EQ(subject.current().m_change_id, "five");
    EXPECT_EQ(subject.revision(), 5U);
    EXPECT_EQ(subject.refused_revision(), 6U);
}

TEST(adoption, ignores_outdated_confirmations) {
    config_adoption subject;
    subject.offer(5, text_of("five"));
    const time_point start{seconds{100}};
    subject.confirmed(4, start);
    EXPECT_EQ(subject.age(start), duration::max());
    subject.confirmed(5, start);
    EXPECT_EQ(subject.age(start + seconds{2}), seconds{2});
    subject.confirmed(5, start - seconds{9}); // arrives late
    EXPECT_EQ(subject.age(start + seconds{2}), seconds{2});
}
