package medlarroute.core

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RulesReaderTest {
    private val text = """
        # Rules of the north deployment.

        team payments callers router-a, router-b  # Jane (payments): one budget
        quota payments 500/s                      # Jane (payments): contract of May
        limit caller router-a open-jobs 200       # Omar (operations): incident of 3 May
        timeout kind check 2s                     # Omar (operations)
        class kind index long                     # Lin (search)
        route caller router-a kind index to south # Lin (search): accelerators are there
        route caller * kind index to none         # Lin (search)
        drain backend b7                          # Omar (operations): rack move
        block backend b9                          # Omar (operations): fails every task
    """.trimIndent()

    private fun findings(text: String) = RulesReader.document(text).leftOrNull().orEmpty().map { it.toString() }

    @Test
    fun `a file with every rule is read`() {
        val rules = RulesReader.read(text, version = 7).getOrNull()
        rules shouldBe Rules(
            version = 7,
            teams = mapOf(CallerId("router-a") to TeamId("payments"), CallerId("router-b") to TeamId("payments")),
            quotas = mapOf(TeamId("payments") to 500.0),
            routes = listOf(
                Route(CallerId("router-a"), KindId("index"), setOf(FailureDomainId("south"))),
                Route(null, KindId("index"), emptySet()),
            ),
            lengthClasses = mapOf(KindId("index") to LengthClass.LONG),
            maxTimeouts = mapOf(KindId("check") to 2.seconds),
            openJobLimits = mapOf(CallerId("router-a") to 200),
            drainedBackends = setOf(BackendId("b7")),
            blockedBackends = setOf(BackendId("b9")),
        )
    }

    @Test
    fun `all errors are reported together with line and column`() {
        val invalid = """
            quota payments 500/s
            qouta payments 500/s  # Jane
            quota payments 500    # Jane
            team t callers a!, b, c?, b # Jane
            route caller * kind index north # Lin
            timeout kind check 25h # Omar
            limit caller router-a open-jobs # Omar
            class kind index long extra #
        """.trimIndent()
        findings(invalid) shouldContainExactly listOf(
            "rules:1:21: no comment that says who asked for the rule",
            "rules:2:1: unknown rule `qouta`; known rules: team, quota, limit, timeout, class, route, drain, block",
            "rules:3:16: expected a rate such as 500/s, up to 1000000000/s, found `500`",
            "rules:4:16: expected a caller, found `a!`; $NAME_RULE",
            "rules:4:23: expected a caller, found `c?`; $NAME_RULE",
            "rules:4:27: `b` is listed twice",
            "rules:5:27: expected `to`, found `north`",
            "rules:6:20: expected a time such as 250ms, 2s or 1m, up to 24h, found `25h`",
            "rules:7:32: expected a number of jobs, found the end of the rule",
            "rules:8:23: unexpected `extra`",
            "rules:8:28: no comment that says who asked for the rule",
        )
    }

    @Test
    fun `repeated rules and unreachable routes are reported`() {
        val invalid = """
            team a callers x, y            # Jane
            team b callers y               # Jane
            quota a 1/s                    # Jane
            quota a 2/s                    # Omar
            route caller * kind index to s # Lin
            route caller x kind index to n # Lin
            drain backend b1               # Omar
            block backend b1               # Omar
        """.trimIndent()
        findings(invalid) shouldContainExactly listOf(
            "rules:2:1: the team of caller `y` is already set in line 1",
            "rules:4:1: the quota of team `a` is already set in line 3",
            "rules:6:1: this route never decides, as line 5 matches first",
            "rules:8:1: drain or block of backend server `b1` is already set in line 7",
        )
    }

    @Test
    fun `the printed form is read back as the same rules and printed identically again`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 3, iterations = 500), documents) { document ->
            val printed = RulesPrinter.print(document)
            val read = RulesReader.document(printed).getOrNull()
            read?.toRules(1) shouldBe document.toRules(1)
            read?.let { RulesPrinter.print(it) } shouldBe printed
        }
    }

    @Test
    fun `no text crashes the reader`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 4, iterations = 500), Arb.string(0, 200)) { RulesReader.document(it) }
        checkAll(PropTestConfig(seed = 5, iterations = 500), mutated(text)) { RulesReader.document(it) }
    }

    @Test
    fun `every accepted text is read back from its printed form as the same rules`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 6, iterations = 2_000), mutated(text)) { mutant ->
            val document = RulesReader.document(mutant).getOrNull()
            if (document != null) {
                val again = RulesReader.document(RulesPrinter.print(document)).getOrNull()
                again?.toRules(1) shouldBe document.toRules(1)
                again?.let { RulesDiff.between(document, it).isEmpty } shouldBe true
            }
        }
    }

    @Test
    fun `a text that is too long is rejected without being parsed`() {
        findings("#".repeat(RulesReader.MAX_CHARS + 1)).size shouldBe 1
    }

    private companion object {
        const val NAME_RULE = "a name consists of 1 to 128 letters, digits and `_ - . : @`, and is not `none`"
        const val MUTATIONS = "#,*/ \t\n\r\u0000\u0085\uD800zq09-"

        val documents = arbitrary { documentOf(it) }

        fun documentOf(source: RandomSource): RulesDocument {
            val random = source.random
            val names = List(4) { "n${random.nextInt(1_000)}.$it" }
            val rules = buildList {
                add(Rule.Team(TeamId(names[0]), names.take(random.nextInt(1, 4)).map { CallerId(it) }))
                add(Rule.Quota(TeamId(names[1]), random.nextInt(0, 100_000) / 8.0))
                add(Rule.OpenJobs(CallerId(names[2]), random.nextInt(0, 1_000)))
                add(Rule.MaxTimeout(KindId(names[3]), random.nextLong(1, 90_000).milliseconds))
                add(Rule.Length(KindId(names[0]), LengthClass.entries.random(random)))
                add(Rule.Drain(BackendId(names[1])))
                add(Rule.Block(BackendId(names[2])))
                val domains = names.shuffled(random).take(random.nextInt(0, 4)).map { FailureDomainId(it) }.toSet()
                add(Rule.Routing(Route(CallerId(names[0]), null, domains)))
                add(Rule.Routing(Route(null, KindId(names[1]), domains)))
            }
            val lines = rules.shuffled(random).take(random.nextInt(0, rules.size + 1))
            return RulesDocument(lines.mapIndexed { i, rule -> RuleLine(rule, "Jane: #$i, ü \"why\"", i + 1) })
        }

        fun mutated(text: String) = arbitrary { source -> mutate(text, source.random) }

        fun mutate(text: String, random: Random): String {
            val chars = StringBuilder(text)
            repeat(random.nextInt(1, 8)) {
                val at = random.nextInt(chars.length)
                when (random.nextInt(3)) {
                    0 -> chars.delete(at, at + 1)
                    1 -> chars.insert(at, MUTATIONS.random(random))
                    else -> chars.setCharAt(at, MUTATIONS.random(random))
                }
            }
            return chars.toString()
        }
    }
}
