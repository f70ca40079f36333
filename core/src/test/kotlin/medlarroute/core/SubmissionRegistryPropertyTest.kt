package medlarroute.core

import io.kotest.assertions.withClue
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Applies random operations to the registry and checks its results over the whole history. */
class SubmissionRegistryPropertyTest {
    private val caller = CallerId("router")
    private val home = SubmissionRegistry.Home(FailureDomainId("north"), InstanceId("e1"), Incarnation(3))
    private val settings =
        RegistrySettings(
            windowSequences = 6,
            retentionMs = 50,
            maxTickets = 4,
            maxRecords = 10,
            answerBudgetBytes = 400,
        )

    private inner class History(seed: Long) {
        private val random = Random(seed)
        private val clock = TestTimeSource()
        private val registry = SubmissionRegistry(home, settings, clock)
        private val tickets = ArrayList<TicketId>()
        private val begun = HashSet<SubmissionId>()
        private val answers = HashMap<SubmissionId, Answer>()
        private val refused = HashSet<SubmissionId>()

        fun step(operation: Int) {
            when (operation % OPERATIONS) {
                0 -> registry.openTicket(caller)?.let(tickets::add)
                1, 2, 3, 4 -> anySubmission()?.let(::begin)
                5, 6 -> begun.filter { it !in answers }.randomOrNull(random)?.let(::end)
                7 -> clock += random.nextLong(MAX_STEP_MS).milliseconds
                else -> begun.randomOrNull(random)?.let(::begin)
            }
        }

        fun stop() {
            registry.seal()
            begun.filter { it !in answers }.forEach(::end)
            val successor = SuccessorRecords(settings, clock).apply { add(registry.export()) }
            for (submission in begun + refused) {
                val lookup = checkNotNull(successor.lookup(submission, caller, DIGEST))
                check(submission, lookup)
            }
        }

        private fun anySubmission(): SubmissionId? =
            tickets.randomOrNull(random)?.let { SubmissionId(it, random.nextLong(1, MAX_SEQUENCE)) }

        private fun begin(submission: SubmissionId) {
            val lookup = registry.begin(submission, caller, DIGEST)
            if (lookup == Lookup.New) {
                withClue("$submission began twice") { begun.add(submission).shouldBeTrue() }
                withClue("$submission began after a refusal") { (submission !in refused).shouldBeTrue() }
            }
            check(submission, lookup)
        }

        private fun check(submission: SubmissionId, lookup: Lookup) {
            when (lookup) {
                is Lookup.Answered -> withClue("$submission") { lookup.answer shouldBe answers[submission] }

                is Lookup.Closed, Lookup.UnknownTicket -> {
                    withClue("$submission refused although it began") { (submission !in begun).shouldBeTrue() }
                    refused += submission
                }

                Lookup.Running -> withClue("$submission") { (submission !in answers).shouldBeTrue() }

                Lookup.DigestMismatch -> error("$submission has one digest only")

                Lookup.New, Lookup.Expired -> Unit
            }
        }

        private fun end(submission: SubmissionId) {
            val answer = Answer.Complete(listOf("answer to $submission"))
            registry.end(submission, answer)
            answers[submission] = answer
        }
    }

    // Guards against a second start after eviction, window overflow, expiry or hand-over of a record.
    @Test
    fun `a submission begins at most once and never after a refusal`() = runBlocking<Unit> {
        val config = PropTestConfig(seed = 20_261_204, iterations = 2_000)
        checkAll(config, Arb.long(), Arb.list(Arb.int(0 until OPERATIONS), 1..120)) { seed, operations ->
            val history = History(seed)
            operations.forEach(history::step)
            history.stop()
        }
    }

    private companion object {
        const val OPERATIONS = 10
        const val MAX_STEP_MS = 80L
        const val MAX_SEQUENCE = 20L
        const val DIGEST = 9L
    }
}
