package medlarroute.core

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class SubmissionRegistryTest {
    private val clock = TestTimeSource()
    private val home =
        SubmissionRegistry.Home(FailureDomainId("north"), InstanceId("e1"), Incarnation(7))
    private val settings = RegistrySettings(windowSequences = 4, retentionMs = 1_000)
    private val registry = SubmissionRegistry(home, settings, clock)
    private val caller = CallerId("router")

    @Test
    fun `a resubmission is answered from the record and is never new again`() {
        val submission = SubmissionId(checkNotNull(registry.openTicket(caller)), 1)
        registry.begin(submission, caller, digest = 5) shouldBe Lookup.New
        registry.begin(submission, caller, digest = 5) shouldBe Lookup.Running
        registry.end(submission, Answer.Complete(listOf("out")))
        registry.begin(submission, caller, digest = 5) shouldBe Lookup.Answered(Answer.Complete(listOf("out")))
        registry.begin(submission, caller, digest = 6) shouldBe Lookup.DigestMismatch
    }

    @Test
    fun `a submission of a removed ticket is reported as expired and not as unknown`() {
        val submission = SubmissionId(checkNotNull(registry.openTicket(caller)), 1)
        clock += 2_000.milliseconds
        registry.openTicket(caller)
        registry.begin(submission, caller, digest = 5) shouldBe Lookup.Expired
    }

    @Test
    fun `a full window refuses a new sequence instead of evicting a running one`() {
        val ticket = checkNotNull(registry.openTicket(caller))
        registry.begin(SubmissionId(ticket, 1), caller, digest = 5) shouldBe Lookup.New
        registry.begin(SubmissionId(ticket, 9), caller, digest = 5).shouldBeInstanceOf<Lookup.Closed>()
        registry.begin(SubmissionId(ticket, 1), caller, digest = 5) shouldBe Lookup.Running
    }
}
