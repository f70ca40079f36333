package medlarroute.core

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Checks that concurrent resubmissions, answers and a seal behave as if executed one after the other. */
class SubmissionRegistryLincheckTest {
    private val caller = CallerId("router")
    private val home = SubmissionRegistry.Home(FailureDomainId("north"), InstanceId("e1"), Incarnation(3))
    private val registry = SubmissionRegistry(home, RegistrySettings(windowSequences = 2))
    private val ticket = checkNotNull(registry.openTicket(caller))

    @Operation
    fun begin(sequence: Int): String = registry.begin(submission(sequence), caller, digest = 1).toString()

    @Operation
    fun end(sequence: Int) = registry.end(submission(sequence), Answer.Complete(listOf("out")))

    @Operation
    fun peek(sequence: Int): String = registry.peek(submission(sequence), caller).toString()

    @Operation
    fun seal() = registry.seal()

    // Guards against two threads that both get the same submission reported as new.
    @Test
    fun `the registry is linearizable`() =
        ModelCheckingOptions()
            .iterations(20)
            .invocationsPerIteration(500)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)

    private fun submission(sequence: Int) = SubmissionId(ticket, 1L + Math.floorMod(sequence, 4))
}
