package medlarroute.core

import arrow.core.left
import arrow.core.right
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class RulesKeeperTest {
    private val parser = RulesParser { if ("bad" in it) listOf(RulesFinding(1, "bad")).left() else Rules().right() }

    @Test
    fun `the version in force is the highest readable one offered so far, in any order`() = runBlocking<Unit> {
        checkAll(
            PropTestConfig(seed = 1, iterations = 200),
            Arb.list(Arb.pair(Arb.long(1L..50L), Arb.boolean()), 0..60),
        ) { offers ->
            val keeper = RulesKeeper(parser)
            var highest = 0L
            offers.forEach { (version, readable) ->
                keeper.offer(RulesText(version, if (readable) "ok" else "bad"))
                if (readable) highest = maxOf(highest, version)
                keeper.version shouldBe highest
            }
        }
    }

    @Test
    fun `a version that can't be read is not fetched again and the one in force stays`() {
        val keeper = RulesKeeper(parser)
        keeper.offer(RulesText(4, "ok")).shouldBeInstanceOf<RulesOffer.InForce>().rules.version shouldBe 4
        keeper.versionAdvertised(5) shouldBe true
        keeper.offer(RulesText(5, "bad")).shouldBeInstanceOf<RulesOffer.Unreadable>()
        keeper.versionAdvertised(5) shouldBe false
        keeper.isBehind shouldBe true
        keeper.current shouldBe RulesText(4, "ok")
        keeper.versionAdvertised(6) shouldBe true
    }

    @Test
    fun `a writer finds its write after others have followed, and is not told a guess`() {
        var row = RulesRow(1, "a", "n1")
        (2..10).forEach { row = row.next("text $it", "n$it") }
        row.hasCommitted("n7", 7) shouldBe true
        row.hasCommitted("mine", 7) shouldBe false
        row.hasCommitted("mine", 11) shouldBe null
        (11..60).forEach { row = row.next("text $it", "n$it") }
        row.hasCommitted("mine", 11) shouldBe null
    }
}
