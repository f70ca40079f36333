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

    /** Guards against rules that reach only the instance that committed them, or that are applied out of order. */
    @Test
    fun `accepted rules come into force on all instances`() {
        val first = start("e1")
        val second = start("e2")
        first.apply("a", 0) shouldBe ApplyRulesResult.Accepted(1)
        eventually("version 1 is in force") { second.network.rulesVersion == 1L && first.network.rulesVersion == 1L }
        second.apply("b", 1) shouldBe ApplyRulesResult.Accepted(2)
        eventually("version 2 is in force") { first.network.rulesVersion == 2L }
        first.inputs.filterIsInstance<Input.RulesChanged>().map { it.rules.version } shouldBe listOf(1L, 2L)
    }

    /** Guards against an operator who overwrites rules of another operator without having read them. */
    @Test
    fun `an apply with an outdated version is a conflict that returns the committed text`() {
        val first = start("e1")
        first.apply("a", 0)
        first.apply("winner", 1) shouldBe ApplyRulesResult.Accepted(2)
        start("e2").apply("loser", 1) shouldBe ApplyRulesResult.Conflict(RulesText(2, "winner"))
    }

    /** Guards against two operators whose concurrent writes are both accepted, of which one is lost. */
    @Test
    fun `exactly one of concurrent applies is accepted and the others report the same winner`() {
        val instances = List(4) { start("e$it") }
        val results = instances.map { it.network.applyRules("by ${it.home.instance}", 0) }.map { it.join() }
        results.count { it is ApplyRulesResult.Accepted } shouldBe 1
        val winner = "by ${instances[results.indexOfFirst { it is ApplyRulesResult.Accepted }].home.instance}"
        val conflicts = results.filterIsInstance<ApplyRulesResult.Conflict>()
        conflicts.map { it.winner } shouldBe List(3) { RulesText(1, winner) }
    }

    /** Guards against committed rules that no instance can parse. */
    @Test
    fun `invalid rules are not written`() {
        val instance = start("e1")
        instance.apply("bad", 0) shouldBe ApplyRulesResult.Invalid(listOf(RulesFinding(1, "bad word")))
        instance.apply("a", 0) shouldBe ApplyRulesResult.Accepted(1)
    }

    /** Guards against a committed write that is reported as a conflict with itself. */
    @Test
    fun `a write whose reply was lost is recognized by its nonce`() {
        platform.repliesToLose.set(1)
        start("e1").apply("a", 0) shouldBe ApplyRulesResult.Accepted(1)
    }

    /** Guards against a write that is dropped on the way and reported as accepted, or that takes effect twice. */
    @Test
    fun `a write that was dropped is retried and takes effect once`() {
        platform.writesToDrop.set(2)
        val instance = start("e1")
        instance.apply("a", 0) shouldBe ApplyRulesResult.Accepted(1)
        instance.apply("b", 1) shouldBe ApplyRulesResult.Accepted(2)
    }

    /** Guards against rules that are reported as committed, or applied, without the platform. */
    @Test
    fun `rules are not committed while the platform is unavailable`() {
        val instance = start("e1")
        platform.isDown = true
        instance.apply("a", 0).shouldBeInstanceOf<ApplyRulesResult.Unavailable>()
        instance.network.rulesVersion shouldBe 0
    }

    /** Guards against an instance that stays without rules after a restart because the platform is down. */
    @Test
    fun `peers pass rules on to a new instance while the platform is down`() {
        val first = start("e1")
        first.apply("a", 0)
        eventually("version 1 is in force") { first.network.rulesVersion == 1L }
        platform.isDown = true
        val newInstance = start("e2", seed = first)
        newInstance.inputs.filterIsInstance<Input.RulesChanged>().isEmpty() shouldBe
            (newInstance.network.rulesVersion == 0L)
        eventually("the new instance has version 1") { newInstance.network.rulesVersion == 1L }
        val withoutPlatform = start("e3", hasPlatform = false, seed = newInstance)
        eventually("the instance without a platform has version 1") { withoutPlatform.network.rulesVersion == 1L }
    }

    /** Guards against an operator who misses an instance with old rules. */
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
