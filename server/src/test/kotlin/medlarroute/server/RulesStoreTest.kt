package medlarroute.server

import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.core.Input
import medlarroute.core.RulesFinding
import medlarroute.core.RulesText
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class RulesStoreTest {
    private val platform = FakePlatform()
    private val opened = ArrayList<AutoCloseable>(listOf(platform))

    @AfterEach
    fun close() = closeAll(opened)

    private fun start(name: String, hasPlatform: Boolean = true, seed: TestInstance? = null): TestInstance {
        val settings = if (hasPlatform) platform.settings else platform.settings.copy(url = "")
        val seeds = listOfNotNull(seed?.network?.peerPort)
        return TestInstance(name, platform = settings, seeds = seeds).also { opened += it }
    }

    private fun TestInstance.apply(text: String, expectedVersion: Long) =
        network.applyRules(text, expectedVersion).join()

    @Test
    fun `accepted rules come into force on all instances`() {
        val first = start("e1")
        val second = start("e2")
        first.apply("a", 0) shouldBe RulesApplied.Accepted(1)
        eventually("version 1 is in force") { second.network.rulesVersion == 1L && first.network.rulesVersion == 1L }
        second.apply("b", 1) shouldBe RulesApplied.Accepted(2)
        eventually("version 2 is in force") { first.network.rulesVersion == 2L }
        first.inputs.filterIsInstance<Input.RulesChanged>().map { it.rules.version } shouldBe listOf(1L, 2L)
    }

    @Test
    fun `the loser of a race is shown the winner's text`() {
        val first = start("e1")
        first.apply("a", 0)
        first.apply("winner", 1) shouldBe RulesApplied.Accepted(2)
        start("e2").apply("loser", 1) shouldBe RulesApplied.Conflict(RulesText(2, "winner"))
    }

    @Test
    fun `of concurrent applies exactly one is accepted and the others are told the same winner`() {
        val instances = List(4) { start("e$it") }
        val results = instances.map { it.network.applyRules("by ${it.home.instance}", 0) }.map { it.join() }
        results.count { it is RulesApplied.Accepted } shouldBe 1
        val winner = "by ${instances[results.indexOfFirst { it is RulesApplied.Accepted }].home.instance}"
        results.filterIsInstance<RulesApplied.Conflict>().map { it.winner } shouldBe List(3) { RulesText(1, winner) }
    }

    @Test
    fun `invalid rules are not written`() {
        val instance = start("e1")
        instance.apply("bad", 0) shouldBe RulesApplied.Invalid(listOf(RulesFinding(1, "bad word")))
        instance.apply("a", 0) shouldBe RulesApplied.Accepted(1)
    }

    @Test
    fun `a write whose reply was lost is found by its nonce`() {
        platform.repliesToLose.set(1)
        start("e1").apply("a", 0) shouldBe RulesApplied.Accepted(1)
    }

    @Test
    fun `a write that was dropped is sent again and takes effect once`() {
        platform.writesToDrop.set(2)
        val instance = start("e1")
        instance.apply("a", 0) shouldBe RulesApplied.Accepted(1)
        instance.apply("b", 1) shouldBe RulesApplied.Accepted(2)
    }

    @Test
    fun `without an answer of the platform nothing is claimed to be committed`() {
        val instance = start("e1")
        platform.isDown = true
        instance.apply("a", 0).shouldBeInstanceOf<RulesApplied.Unavailable>()
        instance.network.rulesVersion shouldBe 0
    }

    @Test
    fun `rules spread between peers while the platform is down, and a fresh instance gets them`() {
        val first = start("e1")
        first.apply("a", 0)
        eventually("version 1 is in force") { first.network.rulesVersion == 1L }
        platform.isDown = true
        val fresh = start("e2", seed = first)
        fresh.inputs.filterIsInstance<Input.RulesChanged>().isEmpty() shouldBe (fresh.network.rulesVersion == 0L)
        eventually("the fresh instance has version 1") { fresh.network.rulesVersion == 1L }
        val withoutPlatform = start("e3", hasPlatform = false, seed = fresh)
        eventually("the instance without a platform has version 1") { withoutPlatform.network.rulesVersion == 1L }
    }

    @Test
    fun `the status names each instance, its version and whether it is unreachable`() {
        val first = start("e1")
        val second = start("e2", seed = first)
        first.apply("a", 0)
        eventually("both versions are known") {
            first.network.rules.status().instances.map { it.version } == listOf(1L, 1L)
        }
        second.close()
        eventually("the second is unreachable") { !first.network.rules.status().instances.last().reachable }
        first.network.rules.status().instances.map { it.instance to it.version } shouldContainExactlyInAnyOrder
            listOf("e1" to 1L, "e2" to 1L)
    }
}
